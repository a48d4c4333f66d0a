package static

import (
	"bytes"
	"flag"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3"
	"github.com/tailscale/hujson"
)

// Parse reads the settings of an entry instance from the arguments, the
// environment and the file that the flag -config names. It returns flag.ErrHelp
// after -help, else the first setting that cannot be parsed or one error for each
// invalid setting.
func Parse(program string, args []string, output io.Writer) (*Settings, error) {
	settings := &Settings{}
	err := parseInto(program, EnvPrefix, args, output, settings.registerFlags)
	if err != nil {
		return nil, err
	}
	if settings.ShowVersion {
		return settings, nil
	}
	settings.fillDefaults()
	return settings, settings.Validate()
}

// VersionOnly reports whether the program only has to print its version.
func (s *Settings) VersionOnly() bool { return s.ShowVersion }

// CheckOnly reports whether the program only has to check the settings.
func (s *Settings) CheckOnly() bool { return s.Check }

// parseInto reads the settings that register adds to the flags from the arguments,
// the environment and the file that the flag -config names.
func parseInto(program, envPrefix string, args []string, output io.Writer, register func(*flag.FlagSet)) error {
	fs := flag.NewFlagSet(program, flag.ContinueOnError)
	fs.SetOutput(output)
	register(fs)
	fs.String("config", "", "file of settings, JSON with comments")
	err := ff.Parse(fs, args,
		ff.WithEnvVarPrefix(envPrefix),
		ff.WithConfigFileFlag("config"),
		ff.WithConfigFileParser(ParseCommentedJSON),
	)
	if err != nil {
		return err
	}
	if fs.NArg() > 0 {
		return errors.Newf("unexpected argument %q", fs.Arg(0))
	}
	return nil
}

// ParseCommentedJSON is an ff.ConfigFileParser for JSON with comments.
func ParseCommentedJSON(r io.Reader, set func(name, value string) error) error {
	data, err := io.ReadAll(r)
	if err != nil {
		return errors.Wrap(err, "settings file")
	}
	standard, err := hujson.Standardize(data)
	if err != nil {
		return errors.Wrap(err, "settings file")
	}
	return ff.JSONParser(bytes.NewReader(standard), set)
}
