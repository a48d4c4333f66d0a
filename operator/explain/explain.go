// Package explain reconstructs the timeline of one request from the log lines of
// several entry instances.
//
// It reads JSON lines as instances write them; the last word before the first brace,
// where some log collectors put the source, is the name of the instance. In addition
// to the lines of the request it shows the state changes that the instances handling
// it logged shortly before and during the request: changes of upstreams,
// configurations, roll-outs, the store and evacuations.
package explain

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// contextWindow is how long before the first line of the request a state change
	// is still shown: an upstream is ejected, and an entry may return, for some seconds.
	contextWindow = 5 * time.Second
	// maxLineBytes is the size limit of a line; a longer one makes Read fail.
	maxLineBytes = 1 << 20
)

// columnFields are the fields that have a separate column or determine the order or
// the choice of lines; redundantFields repeat what another field says.
var (
	columnFields    = []string{"ts", "msg", "level", "request_id"}
	redundantFields = []string{"errorVerbose", "stacktrace"}
)

// ErrNotFound means that no log line has the request id. An ordinary success logs none
// at the level info.
var ErrNotFound = errors.New("no log line has this request id")

// line is one parsed log line.
type line struct {
	source    string
	at        time.Time
	message   string
	requestID string
	fields    map[string]any
}

// Log holds the lines that were read.
type Log struct {
	lines []line
	// Unreadable is the number of lines that could not be parsed as log lines.
	Unreadable int
}

// Read adds the lines of one file. The name is the source of lines without a prefix.
func (l *Log) Read(name string, r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		parsed, ok := parseLine(name, scanner.Text())
		if !ok {
			l.Unreadable++
			continue
		}
		l.lines = append(l.lines, parsed)
	}
	return errors.Wrapf(scanner.Err(), "read %s", name)
}

// parseLine parses one line and reports whether it is a log line. Its time is that
// of the field "ts".
func parseLine(name, text string) (line, bool) {
	prefix, _, found := strings.Cut(text, "{")
	fields := map[string]any{}
	if !found || json.Unmarshal([]byte(text[len(prefix):]), &fields) != nil {
		return line{}, false
	}
	stamp, _ := fields["ts"].(string)
	at, err := time.Parse(time.RFC3339Nano, stamp)
	if err != nil {
		return line{}, false
	}
	l := line{source: name, at: at, fields: fields}
	l.message, _ = fields["msg"].(string)
	l.requestID, _ = fields["request_id"].(string)
	if words := strings.Fields(prefix); len(words) > 0 {
		l.source = words[len(words)-1]
	}
	for _, omitted := range slices.Concat(columnFields, redundantFields) {
		delete(fields, omitted)
	}
	return l, true
}

// Write writes the timeline of the request, ordered by time. Times are in seconds
// relative to its first line, and its lines are marked with "*". The error is
// ErrNotFound if no line has the request id.
func (l *Log) Write(w io.Writer, requestID string) error {
	selected := l.selectLines(requestID)
	if len(selected) == 0 {
		return errors.Wrap(ErrNotFound, requestID)
	}
	first := slices.IndexFunc(selected, func(x line) bool { return x.requestID == requestID })
	for _, x := range selected {
		mark := " "
		if x.requestID == requestID {
			mark = "*"
		}
		_, err := fmt.Fprintf(w, "%s %+8.3f  %-16s %-28s %s\n", mark, x.at.Sub(selected[first].at).Seconds(), x.source, x.message, x.formatFields())
		if err != nil {
			return err
		}
	}
	return nil
}

// selectLines returns the lines of the request and, from the same sources, those
// without a request id between contextWindow before its first line and its last one,
// all ordered by time.
func (l *Log) selectLines(requestID string) []line {
	var requestLines []line
	sources := map[string]bool{}
	for _, x := range l.lines {
		if x.requestID == requestID {
			requestLines = append(requestLines, x)
			sources[x.source] = true
		}
	}
	if len(requestLines) == 0 {
		return nil
	}
	slices.SortStableFunc(requestLines, byTime)
	from, until := requestLines[0].at.Add(-contextWindow), requestLines[len(requestLines)-1].at
	selected := requestLines
	for _, x := range l.lines {
		if x.requestID == "" && sources[x.source] && !x.at.Before(from) && !x.at.After(until) {
			selected = append(selected, x)
		}
	}
	slices.SortStableFunc(selected, byTime)
	return selected
}

func byTime(a, b line) int { return a.at.Compare(b.at) }

// formatFields returns the fields as name=value, ordered by name.
func (x line) formatFields() string {
	var pairs []string
	for _, name := range slices.SortedFunc(maps.Keys(x.fields), cmp.Compare[string]) {
		value, err := json.Marshal(x.fields[name])
		if err != nil {
			// Not reached: a value that was decoded from JSON can be encoded again.
			value = []byte("?")
		}
		pairs = append(pairs, name+"="+string(value))
	}
	return strings.Join(pairs, " ")
}
