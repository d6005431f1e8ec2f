package jysettings

import (
	"fmt"
	"net/netip"
	"os"
	"strings"

	"gopkg.in/ini.v1"

	"github.com/jackdawyard/jackdawyard/pkg/jyfault"
)

// Fault is one thing wrong with a settings file; Line is 0 where a key is missing.
type Fault struct {
	Section string
	Key     string
	Line    int
	Problem string
	Allowed string
}

// String returns the fault on one line.
func (f Fault) String() string {
	return fmt.Sprintf("[%s] %s, line %d: %s (allowed: %s)", f.Section, f.Key, f.Line, f.Problem, f.Allowed)
}

// Load reads and checks a settings file and returns all its faults.
func Load(path string) (Settings, []Fault, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, nil, jyfault.New("load settings", Unreadable, "%w", err)
	}
	return Parse(raw)
}

// Parse checks the text of a settings file and returns all its faults; its errors are of kind Malformed.
func Parse(raw []byte) (Settings, []Fault, error) {
	file, err := ini.LoadSources(ini.LoadOptions{AllowShadows: true, SkipUnrecognizableLines: false}, raw)
	if err != nil {
		return Settings{}, nil, jyfault.New("parse settings", Malformed, "%w", err)
	}
	lines := lineNumbers(string(raw))
	var s Settings
	faults := unknownKeys(file, lines)
	for _, k := range Keys() {
		if f, bad := k.read(&s, file, lines); bad {
			faults = append(faults, f)
		}
	}
	return s, append(faults, s.contradictions(lines)...), nil
}

type place struct{ section, key string }

// lineNumbers finds where each key stands, which the INI library does not tell.
func lineNumbers(text string) map[place]int {
	found := map[place]int{}
	section := ""
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") && strings.HasSuffix(line, "]") {
			section = strings.Trim(line, "[]")
			continue
		}
		if key, _, ok := strings.Cut(line, "="); ok {
			found[place{section, strings.TrimSpace(key)}] = i + 1
		}
	}
	return found
}

func unknownKeys(file *ini.File, lines map[place]int) []Fault {
	known := map[place]bool{}
	for _, k := range Keys() {
		known[place{k.Section, k.Name}] = true
	}
	var faults []Fault
	for _, section := range file.Sections() {
		for _, key := range section.Keys() {
			p := place{section.Name(), key.Name()}
			if !known[p] {
				faults = append(faults, Fault{Section: p.section, Key: p.key, Line: lines[p], Problem: "unknown key", Allowed: "the keys of docs/SETTINGS.md"})
				continue
			}
			if len(key.ValueWithShadows()) > 1 {
				faults = append(faults, Fault{Section: p.section, Key: p.key, Line: lines[p], Problem: "given more than once", Allowed: "one value"})
			}
		}
	}
	return faults
}

func (k Key) read(s *Settings, file *ini.File, lines map[place]int) (Fault, bool) {
	value := strings.TrimSpace(file.Section(k.Section).Key(k.Name).String())
	fault := Fault{Section: k.Section, Key: k.Name, Line: lines[place{k.Section, k.Name}], Allowed: k.Allowed}
	if value == "" {
		value = k.Default
	}
	if value == "" && k.Optional {
		return fault, false
	}
	if value == "" {
		fault.Problem = "missing"
		return fault, true
	}
	if err := k.set(s, value); err != nil {
		fault.Problem = err.Error()
		return fault, true
	}
	return fault, false
}

func (s Settings) contradictions(lines map[place]int) []Fault {
	var faults []Fault
	add := func(key, problem, allowed string) {
		faults = append(faults, Fault{Section: sectionPeers, Key: key, Line: lines[place{sectionPeers, key}], Problem: problem, Allowed: allowed})
	}
	withTLS := s.CertificateFile != "" || s.PrivateKeyFile != "" || s.AuthorityFile != ""
	if withTLS && (s.CertificateFile == "" || s.PrivateKeyFile == "" || s.AuthorityFile == "") {
		add("CertificateFile", "mutual TLS is set in part", "CertificateFile, PrivateKeyFile and AuthorityFile together")
	}
	if s.SharedKey != "" && len(s.SharedKey) < minSharedKey {
		add("SharedKey", "too short", "at least 16 characters")
	}
	if !withTLS && s.SharedKey == "" && !s.PlaintextLoopback && !s.PrivateNetwork {
		add("SharedKey", "peers would be accepted unchecked", "a SharedKey, mutual TLS, PlaintextLoopback = true, or PrivateNetwork = true")
	}
	if s.PlaintextLoopback && !isLoopback(s.PeerAddress) {
		add("PlaintextLoopback", "PeerAddress is not a loopback address", "false, or a loopback PeerAddress")
	}
	return faults
}

const minSharedKey = 16

func isLoopback(addr string) bool {
	a, err := netip.ParseAddrPort(addr)
	return err == nil && a.Addr().IsLoopback()
}
