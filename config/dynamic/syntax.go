package dynamic

import (
	"regexp"
	"strconv"
)

// syntaxLinePattern matches the position at the start of a hujson error.
var syntaxLinePattern = regexp.MustCompile(`^line (\d+), column`)

// syntaxLine returns the line number in an error message of hujson, or 0.
func syntaxLine(message string) int {
	match := syntaxLinePattern.FindStringSubmatch(message)
	if match == nil {
		return 0
	}
	line, err := strconv.Atoi(match[1])
	if err != nil {
		return 0
	}
	return line
}
