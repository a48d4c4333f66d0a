package docs_test

import (
	"bytes"
	"context"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/samber/lo"
	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/caller"
	"samphireferry.example/ferry/config/dynamic"
	"samphireferry.example/ferry/config/static"
	"samphireferry.example/ferry/demo"
	"samphireferry.example/ferry/errkind"
	"samphireferry.example/ferry/load"
	"samphireferry.example/ferry/operator"
	"samphireferry.example/ferry/operator/ctl"
	"samphireferry.example/ferry/placement"
	"samphireferry.example/ferry/shift"
	"samphireferry.example/ferry/standin/command"
	"samphireferry.example/ferry/telemetry"
	"samphireferry.example/ferry/usage"
)

// helpTexts holds, for each program, a function that runs it with the arguments and
// writes its help text to the output.
var helpTexts = map[string]func(args []string, output io.Writer){
	"ferry-entry": func(args []string, output io.Writer) { _, _ = static.Parse("ferry-entry", args, output) },
	"ferryctl": func(args []string, output io.Writer) {
		ctl.Main(context.Background(), "ferryctl", args, output, output)
	},
	"ferry-load": func(args []string, output io.Writer) { load.Main("ferry-load", args, output, output) },
	"ferry-demo": func(args []string, output io.Writer) { demo.Main("ferry-demo", args, output, output) },
	"ferry-standin": func(args []string, output io.Writer) {
		command.Main(context.Background(), "ferry-standin", args, output, output)
	},
}

var (
	helpFlag      = regexp.MustCompile(`(?m)^ +-([a-z][a-z-]*)`)
	flagInText    = regexp.MustCompile(`(?:^|[\s` + "`" + `])--?([a-z][a-z-]+)`)
	metricPattern = regexp.MustCompile(`ferry_[a-z]+(?:_[a-z]+)*`)
	// registration matches the quoted names of metrics in the code.
	registration    = regexp.MustCompile(`"(ferry_[a-z]+(?:_[a-z]+)*)"`)
	snakeWord       = regexp.MustCompile("`([a-z]+(?:_[a-z]+)+)`")
	firstColumnName = regexp.MustCompile("(?m)^\\| `-?([a-z_-]+)` \\|")
)

// flagsOf returns the names of the flags of a command.
func flagsOf(program string, subcommands ...string) []string {
	var output bytes.Buffer
	helpTexts[program](append(slices.Clone(subcommands), "-help"), &output)
	return names(helpFlag, output.String())
}

// names returns the sorted, distinct last submatches of the pattern in the text.
func names(pattern *regexp.Regexp, text string) []string {
	found := lo.Map(pattern.FindAllStringSubmatch(text, -1), func(m []string, _ int) string { return m[len(m)-1] })
	slices.Sort(found)
	return lo.Uniq(found)
}

// section returns the text between the heading and the next one.
func section(t *testing.T, text, heading string) string {
	t.Helper()
	_, after, found := strings.Cut(text, "\n"+heading+"\n")
	assert.Assert(t, found, heading)
	before, _, _ := strings.Cut(after, "\n#")
	return before
}

// sorted returns the values as sorted strings.
func sorted[T ~string](values []T) []string {
	texts := lo.Map(values, func(v T, _ int) string { return string(v) })
	slices.Sort(texts)
	return texts
}

func TestOperationsPageListsAllSettings(t *testing.T) {
	documented := names(firstColumnName, section(t, page(t, "OPERATIONS.md"), "## Settings"))
	assert.DeepEqual(t, documented, flagsOf("ferry-entry"))
}

func TestOperationsPageListsAllRefusalsAndRetryReasons(t *testing.T) {
	text := page(t, "OPERATIONS.md")
	kinds := lo.Map(errkind.All(), func(k errkind.Kind, _ int) string { return k.String() })
	slices.Sort(kinds)
	assert.DeepEqual(t, names(firstColumnName, section(t, text, "### Refusals")), kinds)
	assert.DeepEqual(t, names(firstColumnName, section(t, text, "### Retries")), sorted(telemetry.RetryReasons()))
}

// Guards against a reason of `ferryctl where` that the page doesn't explain.
func TestOperationsPageListsAllReasonsForAnUpstream(t *testing.T) {
	reasons := placement.ReasonNames()
	slices.Sort(reasons)
	assert.DeepEqual(t, names(firstColumnName, section(t, page(t, "OPERATIONS.md"), "### Where a request goes")), reasons)
}

// metricNames returns the names of all metrics in the code.
func metricNames(t *testing.T) []string {
	t.Helper()
	var source strings.Builder
	err := filepath.WalkDir("..", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		source.Write(text)
		return err
	})
	assert.NilError(t, err)
	return names(registration, source.String())
}

func TestOperationsPageListsAllMetrics(t *testing.T) {
	documented := names(firstColumnName, section(t, page(t, "OPERATIONS.md"), "## Counters"))
	exported := metricNames(t)
	assert.DeepEqual(t, documented, exported)
	for _, name := range pages {
		for _, metric := range names(metricPattern, page(t, name)) {
			assert.Assert(t, slices.Contains(exported, metric), "%s names %s", name, metric)
		}
	}
}

// commands returns the commands in the indented blocks of the text, split into words.
func commands(text string) [][]string {
	var all [][]string
	for line := range strings.Lines(strings.ReplaceAll(text, "\\\n", " ")) {
		if !strings.HasPrefix(line, "    ") {
			continue
		}
		words := strings.Fields(line)
		start := slices.IndexFunc(words, func(word string) bool { return helpTexts[word] != nil })
		if start >= 0 {
			all = append(all, words[start:])
		}
	}
	return all
}

func TestCommandsInPagesUseExistingFlags(t *testing.T) {
	checked := 0
	for _, name := range pages {
		for _, words := range commands(page(t, name)) {
			program, subcommands := words[0], []string{}
			for _, word := range words[1:] {
				isName := len(subcommands) > 0 && subcommands[0] != "key"
				if strings.HasPrefix(word, "-") || isName || program == "ferry-entry" || len(subcommands) == 2 {
					break
				}
				subcommands = append(subcommands, word)
			}
			known := flagsOf(program, subcommands...)
			for _, flag := range names(flagInText, strings.Join(words, " ")) {
				assert.Assert(t, slices.Contains(known, flag), "%s: %v has no flag -%s", name, words, flag)
				checked++
			}
		}
	}
	assert.Assert(t, checked > 20)
}

// logField matches the name of a log field in the code.
var logField = regexp.MustCompile(`zap\.[A-Z][A-Za-z0-9]*\("([a-z_]+)"`)

// source returns the source code of a package without its tests.
func source(t *testing.T, folder string) string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(folder, "*.go"))
	assert.NilError(t, err)
	var text strings.Builder
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		data, err := os.ReadFile(file)
		assert.NilError(t, err)
		text.Write(data)
	}
	return text.String()
}

// pages lists the pages whose names of flags, metrics and fields are checked.
var pages = []string{"OPERATIONS.md", "CALLERS.md", "SHIFTS.md", "../README.md"}

func TestNamesInPagesExistInCode(t *testing.T) {
	known := map[string]bool{}
	for _, v := range []any{dynamic.Set{}, operator.InstanceStatus{}, operator.Report{}, caller.EntryInstanceList{}} {
		addFields(known, reflect.TypeOf(v))
	}
	for _, kind := range errkind.All() {
		known[kind.String()] = true
	}
	for _, words := range [][]string{
		sorted(telemetry.RetryReasons()),
		sorted([]shift.State{shift.Running, shift.Holding, shift.Done, shift.TakenBack}),
		sorted([]shift.Reason{shift.ReasonLoaded, shift.ReasonUnhealthy, shift.ReasonLoadUnknown, shift.ReasonRemoved, shift.ReasonSuspected}),
		sorted([]operator.InstanceState{operator.StateInForce, operator.StateCutOff}),
		sorted([]dynamic.RouteKind{dynamic.AtMostOnce}),
		sorted(usage.Reasons()),
		names(firstColumnName, section(t, page(t, "OPERATIONS.md"), "## Counters")),
		names(logField, source(t, "../edge")),
		placement.ReasonNames(),
		// Fields of a refusal, and values of labels.
		{"request_id", "not_sent", "compare_and_swap", "rate_limited"},
	} {
		for _, word := range words {
			known[word] = true
		}
	}
	for _, name := range pages {
		for _, word := range names(snakeWord, page(t, name)) {
			assert.Assert(t, known[word], "%s names %s, which the code does not have", name, word)
		}
	}
	entryFlags := flagsOf("ferry-entry")
	for _, flag := range names(regexp.MustCompile("`-([a-z][a-z-]+)`"), section(t, page(t, "OPERATIONS.md"), "### Refusals")) {
		assert.Assert(t, slices.Contains(entryFlags, flag), "no setting -%s", flag)
	}
}

// addFields adds the JSON names of all fields that are reachable from the type.
func addFields(known map[string]bool, typ reflect.Type) {
	switch typ.Kind() {
	case reflect.Slice, reflect.Array, reflect.Pointer:
		addFields(known, typ.Elem())
	case reflect.Struct:
		for i := range typ.NumField() {
			field := typ.Field(i)
			name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
			known[name] = true
			addFields(known, field.Type)
		}
	}
}
