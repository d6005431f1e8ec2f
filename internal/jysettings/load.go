package jysettings

import (
	"fmt"
	"net/netip"
	"os"
	"strings"

	"gopkg.in/ini.v1"

	"github.com/jackdawyard/jackdawyard/pkg/jyfault"
)

// Fault is one error in a settings file.
type Fault struct {
	Section string
	Key     string
	Line    int // counted from 1; 0 if the key is not in the file
	Problem string
	Allowed string // the valid values
}

// String returns the fault on one line.
func (f Fault) String() string {
	return fmt.Sprintf("[%s] %s, line %d: %s (allowed: %s)", f.Section, f.Key, f.Line, f.Problem, f.Allowed)
}

// Load reads and validates a settings file and returns all its faults. Its errors are of kind Unreadable or Malformed.
func Load(path string) (Settings, []Fault, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, nil, jyfault.New("load settings", Unreadable, "%w", err)
	}
	return Parse(raw)
}

// Parse validates the text of a settings file and returns all its faults. The settings are usable only if there is neither a
// fault nor an error. Its errors are of kind Malformed.
func Parse(raw []byte) (Settings, []Fault, error) {
	file, err := ini.LoadSources(ini.LoadOptions{AllowShadows: true, SkipUnrecognizableLines: false}, raw)
	if err != nil {
		return Settings{}, nil, jyfault.New("parse settings", Malformed, "%w", err)
	}
	lines := lineNumbers(string(raw))
	var s Settings
	faults := findUnknownAndRepeatedKeys(file, lines)
	for _, k := range Keys() {
		if f, bad := k.apply(&s, file, lines); bad {
			faults = append(faults, f)
		}
	}
	faults = append(faults, s.checkRevocation(lines)...)
	return s, append(faults, s.checkPeerSecurity(lines)...), nil
}

// checkRevocation returns a fault if a revocation bound is set for release notes, whose sources do not prove that there is no newer one.
func (s Settings) checkRevocation(lines map[keyID]int) []Fault {
	if s.RevocationBound == 0 || s.Source == SourceStore {
		return nil
	}
	const key = "RevocationBound"
	return []Fault{{
		Section: sectionAccounts, Key: key, Line: lines[keyID{sectionAccounts, key}],
		Problem: "release notes cannot keep a revocation bound", Allowed: "0s, or Source = Store",
	}}
}

// keyID identifies a key by its section and name.
type keyID struct{ section, key string }

// lineNumbers returns the line of each key, counted from 1, since the INI library does not report it.
func lineNumbers(text string) map[keyID]int {
	lines := map[keyID]int{}
	section := ""
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") && strings.HasSuffix(line, "]") {
			section = strings.Trim(line, "[]")
			continue
		}
		if key, _, ok := strings.Cut(line, "="); ok {
			lines[keyID{section, strings.TrimSpace(key)}] = i + 1
		}
	}
	return lines
}

func findUnknownAndRepeatedKeys(file *ini.File, lines map[keyID]int) []Fault {
	known := map[keyID]bool{}
	for _, k := range Keys() {
		known[keyID{k.Section, k.Name}] = true
	}
	var faults []Fault
	for _, section := range file.Sections() {
		for _, key := range section.Keys() {
			id := keyID{section.Name(), key.Name()}
			if !known[id] {
				faults = append(faults, Fault{
					Section: id.section, Key: id.key, Line: lines[id],
					Problem: "unknown key", Allowed: "the keys of docs/SETTINGS.md",
				})
				continue
			}
			if len(key.ValueWithShadows()) > 1 {
				faults = append(faults, Fault{Section: id.section, Key: id.key, Line: lines[id], Problem: "given more than once", Allowed: "one value"})
			}
		}
	}
	return faults
}

// apply stores the key's value, or its default, in s. It returns a fault and true if the value is missing or invalid.
func (k Key) apply(s *Settings, file *ini.File, lines map[keyID]int) (Fault, bool) {
	value := strings.TrimSpace(file.Section(k.Section).Key(k.Name).String())
	fault := Fault{Section: k.Section, Key: k.Name, Line: lines[keyID{k.Section, k.Name}], Allowed: k.Allowed}
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

// checkPeerSecurity returns the faults in how peers are authenticated.
func (s Settings) checkPeerSecurity(lines map[keyID]int) []Fault {
	var faults []Fault
	add := func(key, problem, allowed string) {
		faults = append(faults, Fault{Section: sectionPeers, Key: key, Line: lines[keyID{sectionPeers, key}], Problem: problem, Allowed: allowed})
	}
	withTLS := s.CertificateFile != "" || s.PrivateKeyFile != "" || s.AuthorityFile != ""
	if withTLS && (s.CertificateFile == "" || s.PrivateKeyFile == "" || s.AuthorityFile == "") {
		add("CertificateFile", "mutual TLS is configured only in part", "CertificateFile, PrivateKeyFile and AuthorityFile together")
	}
	if s.SharedKey != "" && len(s.SharedKey) < minSharedKeyLength {
		add("SharedKey", "too short", "at least 16 characters")
	}
	if !withTLS && s.SharedKey == "" && !s.PlaintextLoopback && !s.PrivateNetwork {
		add("SharedKey", "peers would be accepted without authentication",
			"a SharedKey, mutual TLS, PlaintextLoopback = true, or PrivateNetwork = true")
	}
	if s.PlaintextLoopback && !isLoopback(s.PeerAddress) {
		add("PlaintextLoopback", "PeerAddress is not a loopback address", "false, or a loopback PeerAddress")
	}
	return faults
}

const minSharedKeyLength = 16 // bytes

func isLoopback(addr string) bool {
	a, err := netip.ParseAddrPort(addr)
	return err == nil && a.Addr().IsLoopback()
}
