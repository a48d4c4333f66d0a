// Package static holds the settings of one entry instance process. They are
// read once at start and never change.
//
// Each setting is a flag. It can be given on the command line, in the
// environment or in a file of JSON with comments; the command line goes before
// the environment, and the environment before the file. The name in the
// environment is the flag's with the prefix FERRY_ENTRY, in capitals, with
// underscores in place of hyphens.
//
// Unknown names, values in the wrong unit and impossible combinations are
// refused at start.
package static
