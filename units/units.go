// Package units defines quantities that are written with their unit in JSON:
// durations, rates, shares, bandwidths and sizes.
//
// A number without a unit is rejected, so that a setting can never be read in
// the wrong unit.
package units

import (
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Duration is a span of time, written as Go writes it: "250ms", "2s", "1h30m".
type Duration time.Duration

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// MarshalText returns the duration with its unit.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText parses a duration with its unit and rejects negative ones.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Newf("%q is not a duration such as \"250ms\" or \"2s\"", text)
	}
	if parsed < 0 {
		return errors.Newf("%q is negative", text)
	}
	*d = Duration(parsed)
	return nil
}

// UnmarshalJSON rejects a number without a unit.
func (d *Duration) UnmarshalJSON(data []byte) error { return unmarshalText(data, d) }

// Rate is a number of requests per second, written as "200/s", "90/min" or
// "10/h".
type Rate float64

// rateUnits maps a unit to its length in seconds.
var rateUnits = map[string]float64{"s": 1, "min": 60, "h": 3600}

// PerSecond returns the rate in requests per second.
func (r Rate) PerSecond() float64 { return float64(r) }

// MarshalText returns the rate in requests per second with its unit.
func (r Rate) MarshalText() ([]byte, error) {
	return []byte(strconv.FormatFloat(float64(r), 'g', -1, 64) + "/s"), nil
}

// UnmarshalText parses a rate with its unit and rejects negative ones.
func (r *Rate) UnmarshalText(text []byte) error {
	number, unit, found := strings.Cut(string(text), "/")
	seconds, known := rateUnits[unit]
	if !found || !known {
		return errors.Newf("%q is not a rate such as \"200/s\", \"90/min\" or \"10/h\"", text)
	}
	value, err := parseNumber(number)
	if err != nil {
		return errors.Wrapf(err, "rate %q", text)
	}
	*r = Rate(value / seconds)
	return nil
}

// UnmarshalJSON rejects a number without a unit.
func (r *Rate) UnmarshalJSON(data []byte) error { return unmarshalText(data, r) }

// Share is a fraction between 0 and 1, written as "10%" or "0.5%".
type Share float64

// percentDigits is the number of significant digits of a written share. It
// removes the rounding error of the multiplication by 100, so that a share that
// is written and read back keeps its value.
const percentDigits = 15

// MarshalText returns the share in percent.
func (s Share) MarshalText() ([]byte, error) {
	return []byte(strconv.FormatFloat(float64(s)*100, 'g', percentDigits, 64) + "%"), nil
}

// UnmarshalText parses a share in percent, from 0% to 100%.
func (s *Share) UnmarshalText(text []byte) error {
	number, found := strings.CutSuffix(string(text), "%")
	if !found {
		return errors.Newf("%q is not a share such as \"10%%\"", text)
	}
	value, err := parseNumber(number)
	if err != nil {
		return errors.Wrapf(err, "share %q", text)
	}
	if value > 100 {
		return errors.Newf("share %q is over 100%%", text)
	}
	*s = Share(value / 100)
	return nil
}

// UnmarshalJSON rejects a number without a unit.
func (s *Share) UnmarshalJSON(data []byte) error { return unmarshalText(data, s) }

// Bandwidth is a number of bits per second, written as "4000Mbit/s".
type Bandwidth float64

// bandwidthUnits holds the units with their bits per second. The longer suffixes
// come first, because "bit/s" is the end of each of them.
var bandwidthUnits = []unitSuffix{{"Gbit/s", 1e9}, {"Mbit/s", 1e6}, {"kbit/s", 1e3}, {"bit/s", 1}}

// BytesPerSecond returns the bandwidth in bytes per second.
func (b Bandwidth) BytesPerSecond() float64 { return float64(b) / 8 }

// MarshalText returns the bandwidth in Mbit/s.
func (b Bandwidth) MarshalText() ([]byte, error) {
	return []byte(strconv.FormatFloat(float64(b)/1e6, 'g', -1, 64) + "Mbit/s"), nil
}

// UnmarshalText parses a bandwidth with its unit and rejects negative ones.
func (b *Bandwidth) UnmarshalText(text []byte) error {
	value, err := parseSuffixed(string(text), bandwidthUnits, "bandwidth such as \"4000Mbit/s\"")
	*b = Bandwidth(value)
	return err
}

// UnmarshalJSON rejects a number without a unit.
func (b *Bandwidth) UnmarshalJSON(data []byte) error { return unmarshalText(data, b) }

// Size is a number of bytes, written as "64KiB", "1MiB" or "512B".
type Size int64

// sizeUnits holds the units with their bytes. The longer suffixes come first,
// because "B" is the end of each of them.
var sizeUnits = []unitSuffix{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}

// MarshalText returns the size in bytes with its unit.
func (s Size) MarshalText() ([]byte, error) { return []byte(fmt.Sprintf("%dB", int64(s))), nil }

// UnmarshalText parses a size with its unit and rejects negative ones.
func (s *Size) UnmarshalText(text []byte) error {
	value, err := parseSuffixed(string(text), sizeUnits, "size such as \"64KiB\"")
	*s = Size(value)
	return err
}

// UnmarshalJSON rejects a number without a unit.
func (s *Size) UnmarshalJSON(data []byte) error { return unmarshalText(data, s) }

// unitSuffix is the text of a unit and the factor that converts a number with it
// to the base unit.
type unitSuffix struct {
	text   string
	factor float64
}

// parseSuffixed parses a number with one of the suffixes and returns it in the
// base unit. want describes the expected form in the error.
func parseSuffixed(text string, suffixes []unitSuffix, want string) (float64, error) {
	for _, s := range suffixes {
		number, found := strings.CutSuffix(text, s.text)
		if !found {
			continue
		}
		value, err := parseNumber(number)
		if err != nil {
			return 0, errors.Wrapf(err, "%q", text)
		}
		return value * s.factor, nil
	}
	return 0, errors.Newf("%q is not a %s", text, want)
}

// parseNumber parses a finite number that is not negative.
func parseNumber(text string) (float64, error) {
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(value) || math.IsInf(value, 0) {
		return 0, errors.Newf("%q is not a number", text)
	}
	if value < 0 {
		return 0, errors.Newf("%q is negative", text)
	}
	return value, nil
}

type textUnmarshaler interface{ UnmarshalText(text []byte) error }

// unmarshalText decodes a JSON string with into.UnmarshalText and rejects every
// other JSON value.
func unmarshalText(data []byte, into textUnmarshaler) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return errors.Newf("%s needs a unit and quotes", data)
	}
	return into.UnmarshalText([]byte(text))
}
