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
	Source string // the file
	Time   time.Time
	Text   string
	Event  int
	Fields map[string]string
}

// maxLineBytes bounds a line of a log.
const maxLineBytes = 1 << 20

var (
	// headPattern takes the day and time that klog writes; what a shipper puts before it is passed over.
	headPattern  = regexp.MustCompile(`[IWEF](\d{4} \d{2}:\d{2}:\d{2}\.\d{6})\s+\d+ [^\]]*\] "((?:[^"\\]|\\.)*)"(.*)$`)
	fieldPattern = regexp.MustCompile(`(\w+)=("(?:[^"\\]|\\.)*"|\S+)`)
)

const timeLayout = "0102 15:04:05.000000"

// Read returns the events of a log; other lines are passed over.
func Read(source string, in io.Reader) ([]Line, error) {
	var out []Line
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if line, ok := parse(source, scanner.Text()); ok {
			out = append(out, line)
		}
	}
	return out, scanner.Err()
}

func parse(source, text string) (Line, bool) {
	head := headPattern.FindStringSubmatch(text)
	if head == nil {
		return Line{}, false
	}
	at, err := time.Parse(timeLayout, head[1])
	if err != nil {
		return Line{}, false
	}
	line := Line{Source: source, Time: at, Text: head[2], Fields: map[string]string{}}
	for _, field := range fieldPattern.FindAllStringSubmatch(head[3], -1) {
		value, err := strconv.Unquote(field[2])
		if err != nil {
			// Numbers and booleans stand without quotes.
			value = field[2]
		}
		line.Fields[field[1]] = value
	}
	line.Event, err = strconv.Atoi(line.Fields["Event"])
	return line, err == nil
}
