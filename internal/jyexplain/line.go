package jyexplain

import (
	"bufio"
	"io"
	"regexp"
	"strconv"
	"time"
)

// Line is one event of a log.
type Line struct {
	File    string    // the name of the log file
	Time    time.Time // of year 0, since klog writes no year
	Message string
	Event   int // the number of the event
	Fields  map[string]string
}

// maxLineBytes bounds a line of a log. Read fails at a longer one.
const maxLineBytes = 1 << 20

var (
	// linePattern matches the day, time, message and fields that klog writes. Text that a log shipper puts before them is skipped.
	linePattern  = regexp.MustCompile(`[IWEF](\d{4} \d{2}:\d{2}:\d{2}\.\d{6})\s+\d+ [^\]]*\] "((?:[^"\\]|\\.)*)"(.*)$`)
	fieldPattern = regexp.MustCompile(`(\w+)=("(?:[^"\\]|\\.)*"|\S+)`)
)

const timeLayout = "0102 15:04:05.000000"

// Read returns the events of a log. file is the name of the log file. Lines that are not events are skipped.
func Read(file string, in io.Reader) ([]Line, error) {
	var out []Line
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if line, ok := parse(file, scanner.Text()); ok {
			out = append(out, line)
		}
	}
	return out, scanner.Err()
}

// parse returns the event in a line of text, or false if there is none or it has no event number.
func parse(file, text string) (Line, bool) {
	match := linePattern.FindStringSubmatch(text)
	if match == nil {
		return Line{}, false
	}
	at, err := time.Parse(timeLayout, match[1])
	if err != nil {
		return Line{}, false
	}
	line := Line{File: file, Time: at, Message: match[2], Fields: map[string]string{}}
	for _, field := range fieldPattern.FindAllStringSubmatch(match[3], -1) {
		value, err := strconv.Unquote(field[2])
		if err != nil {
			// Numbers and booleans are written without quotes.
			value = field[2]
		}
		line.Fields[field[1]] = value
	}
	line.Event, err = strconv.Atoi(line.Fields["Event"])
	return line, err == nil
}
