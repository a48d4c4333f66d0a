package demo

import (
	"bytes"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"samphireferry.example/ferry/operator"
	"samphireferry.example/ferry/operator/ctl"
)

// ferryctl runs a command of operators against the system; it returns the exit
// code and all output.
func ferryctl(t *testing.T, s *System, args ...string) (int, string) {
	t.Helper()
	t.Setenv("FERRYCTL_PLATFORM", s.PlatformURL)
	var output bytes.Buffer
	code := ctl.Main(t.Context(), "ferryctl", args, &output, &output)
	return code, output.String()
}

// done runs a command that must succeed and returns its output.
func done(t *testing.T, s *System, args ...string) string {
	t.Helper()
	code, output := ferryctl(t, s, args...)
	assert.Equal(t, code, ctl.ExitDone, "%v: %s", args, output)
	return output
}

// report returns the status of the system, whether in force or not.
func report(t *testing.T, s *System, args ...string) operator.Report {
	t.Helper()
	_, output := ferryctl(t, s, append([]string{"status", "-json"}, args...)...)
	var r operator.Report
	err := json.NewDecoder(strings.NewReader(output)).Decode(&r)
	assert.NilError(t, err, output)
	return r
}

func TestStatusNamesADomainThatIsCutOff(t *testing.T) {
	s := startSystem(t, Options{})
	waitReady(t, s)
	done(t, s, "status", "-version", "1", "-wait", "60s", "-timeout", "90s")
	for _, place := range []string{"east-2", "north-1", "north-2", "west-1", "west-2", PlacePlatform} {
		s.Network.SetCut("east-1", place, true)
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, i := range report(t, s).Instances {
			if i.CutOff != (i.FailureDomain == "east-1") {
				return poll.Continue("%+v", i)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(inForceTimeout))
	done(t, s, "key", "withdraw", "laurier-1")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		r := report(t, s)
		behind := []string{}
		for _, i := range r.Instances {
			if i.State != operator.StateInForce {
				behind = append(behind, i.FailureDomain+" "+string(i.State))
			}
		}
		cutOff := slices.Equal(slices.Compact(behind), []string{"east-1 cut_off"})
		if cutOff && !r.InForce && len(r.WithdrawnKeys) == 1 && slices.Equal(r.WithdrawnKeys[0].NotYet, []string{"entry-01", "entry-07"}) {
			return poll.Success()
		}
		return poll.Continue("%v %+v", behind, r.WithdrawnKeys)
	}, poll.WithTimeout(inForceTimeout))
	for _, place := range []string{"east-2", "north-1", "north-2", "west-1", "west-2", PlacePlatform} {
		s.Network.SetCut("east-1", place, false)
	}
	done(t, s, "status", "-version", "2", "-wait", "60s", "-timeout", "90s")
	for _, entry := range s.Entries {
		status, body := get(t, "http://"+entry.CallerAddress()+"/dossiers/1", KeyLarge)
		assert.Equal(t, status, http.StatusUnauthorized, body)
	}
}
