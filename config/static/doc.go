// Package static holds the settings of one entry instance process: Settings, or
// EdgeSettings on the platform. They are read at start and do not change; only the
// EdgeBounds are replaced by a reload.
//
// Each setting is a flag. It can be given on the command line, in the
// environment or in a file of JSON with comments; the command line overrides the
// environment, and the environment overrides the file. The name of the environment
// variable is the flag's name in capitals, with underscores in place of hyphens,
// after the prefix FERRY_ENTRY, or FERRY_EDGE for EdgeSettings.
//
// Unknown flags and file fields, values in the wrong unit and impossible
// combinations are rejected at start.
package static
