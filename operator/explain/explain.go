// Package explain tells the life of one request from the log lines of several entry
// instances.
//
// It reads JSON lines as instances write them; text before the first brace names the
// source, as some collectors put it there. Beside the lines of the request it shows
// what the instances that had it came to believe shortly before and meanwhile:
// changes of upstreams, configurations, roll-outs, the store and evacuations.
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
	// before is how long before the request a change of belief still matters: an
	// upstream is ejected, and an entry may come back, for some seconds.
	before = 5 * time.Second
	// longestLine bounds a line in bytes.
	longestLine = 1 << 20
)

// shownApart are the fields that have a column of their own or order the lines,
// repeated those that say what another field says.
var (
	shownApart = []string{"ts", "msg", "level", "request_id"}
	repeated   = []string{"errorVerbose", "stacktrace"}
)

// ErrNotFound says that no line names the request. An ordinary success leaves none at
// the level info.
var ErrNotFound = errors.New("no line names the request")

// line is one line of a log.
type line struct {
	source  string
	at      time.Time
	message string
	request string
	fields  map[string]any
}

// Log holds the lines that were read.
type Log struct {
	lines []line
	// Unreadable is the number of lines that are no log lines.
	Unreadable int
}

// Read adds the lines of one file. Lines without a source of their own get the name.
func (l *Log) Read(name string, r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, longestLine)
	for scanner.Scan() {
		parsed, ok := parse(name, scanner.Text())
		if !ok {
			l.Unreadable++
			continue
		}
		l.lines = append(l.lines, parsed)
	}
	return errors.Wrapf(scanner.Err(), "read %s", name)
}

// parse reads one line. Its time is that of the field "ts".
func parse(name, text string) (line, bool) {
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
	l.request, _ = fields["request_id"].(string)
	if words := strings.Fields(prefix); len(words) > 0 {
		l.source = words[len(words)-1]
	}
	for _, shown := range slices.Concat(shownApart, repeated) {
		delete(fields, shown)
	}
	return l, true
}

// Write tells the life of the request in the order of time. Times are in seconds
// from its first line.
func (l *Log) Write(w io.Writer, request string) error {
	chosen := l.choose(request)
	if len(chosen) == 0 {
		return errors.Wrap(ErrNotFound, request)
	}
	first := slices.IndexFunc(chosen, func(x line) bool { return x.request == request })
	for _, x := range chosen {
		mark := " "
		if x.request == request {
			mark = "*"
		}
		_, err := fmt.Fprintf(w, "%s %+8.3f  %-16s %-28s %s\n", mark, x.at.Sub(chosen[first].at).Seconds(), x.source, x.message, x.text())
		if err != nil {
			return err
		}
	}
	return nil
}

// choose returns the lines of the request and the changes of belief that matter.
func (l *Log) choose(request string) []line {
	var own []line
	sources := map[string]bool{}
	for _, x := range l.lines {
		if x.request == request {
			own = append(own, x)
			sources[x.source] = true
		}
	}
	if len(own) == 0 {
		return nil
	}
	slices.SortStableFunc(own, byTime)
	from, until := own[0].at.Add(-before), own[len(own)-1].at
	chosen := own
	for _, x := range l.lines {
		if x.request == "" && sources[x.source] && !x.at.Before(from) && !x.at.After(until) {
			chosen = append(chosen, x)
		}
	}
	slices.SortStableFunc(chosen, byTime)
	return chosen
}

func byTime(a, b line) int { return a.at.Compare(b.at) }

// text returns the fields in the order of their names.
func (x line) text() string {
	var parts []string
	for _, name := range slices.SortedFunc(maps.Keys(x.fields), cmp.Compare[string]) {
		value, err := json.Marshal(x.fields[name])
		if err != nil {
			// What was decoded from JSON can be encoded again.
			value = []byte("?")
		}
		parts = append(parts, name+"="+string(value))
	}
	return strings.Join(parts, " ")
}
