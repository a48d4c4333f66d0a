package dynamic

import (
	"regexp"
	"strconv"
)

var syntaxLinePattern = regexp.MustCompile(`^line (\d+), column`)

// syntaxLine returns the line that an error of the JSON parser names, or 0.
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
