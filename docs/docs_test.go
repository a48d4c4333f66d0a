// Package docs_test checks that the pages match the names in the code.
package docs_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/errkind"
)

// page returns the text of a page.
func page(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile(name)
	assert.NilError(t, err)
	return string(text)
}

func TestCallersPageMatchesErrorTable(t *testing.T) {
	text := page(t, "CALLERS.md")
	rows := 0
	for _, kind := range errkind.All() {
		row := kind.Row()
		delay := "—"
		if row.RetryAfter > 0 {
			delay = row.RetryAfter.String()
		}
		line := fmt.Sprintf("| `%s` | %d | %s | %s | %s | %s |\n", row.Name, row.Status, row.Outcome, row.Retry, delay, row.Title)
		assert.Assert(t, strings.Contains(text, line), "CALLERS.md lacks %s", line)
		rows++
	}
	assert.Equal(t, strings.Count(text, "\n| `"), rows+len([]string{"ran", "not-run", "unknown", "never", "later", "elsewhere", "same-key"}))
}
