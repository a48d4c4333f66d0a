package demo

import (
	"fmt"
	"io"
)

// Describe prints the addresses of the system and example commands.
func (s *System) Describe(output io.Writer) {
	fmt.Fprintf(output, "platform  %s\n", s.PlatformURL)
	for i, entry := range s.Entries {
		domain := s.domains[i%len(s.domains)]
		fmt.Fprintf(output, "entry-%02d  http://%s  failure domain %s  metrics http://%s/metrics\n",
			i+1, entry.CallerAddress(), domain.Name, entry.OperatorAddress())
	}
	for _, example := range s.examples() {
		fmt.Fprintf(output, "\n# %s\n%s\n", example.title, example.command)
	}
	fmt.Fprintln(output, "\nCtrl-C stops the system.")
}

// example is a command that a user can try.
type example struct {
	title   string
	command string
}

func (s *System) examples() []example {
	entry := "http://" + s.Entries[0].CallerAddress()
	operator := "http://" + s.Entries[0].OperatorAddress()
	home := s.Entries[0].Home()
	return []example{
		{"which entry instances to use", "curl -s " + entry + "/v1/entry-instances"},
		{"a read", "curl -i -H 'Authorization: Bearer " + KeyHighRate + "' " + entry + "/dossiers/42"},
		{"a filing; the same command again gets the recorded response", "curl -i -H 'Authorization: Bearer " + KeyHighRate +
			"' -H 'Idempotency-Key: " + home + ".vote-1' -d 'vote' " + entry + "/filings/42"},
		{"an archive search", "curl -i -H 'Authorization: Bearer " + KeyHighRate + "' '" + entry + "/archive?q=laurels'"},
		{"open to all", "curl -i " + entry + "/notices/today"},
		{"a refusal: wrong key", "curl -i -H 'Authorization: Bearer wrong' " + entry + "/dossiers/42"},
		{"a refusal: over the rate", "for i in 1 2 3 4 5 6 7 8; do curl -s -o /dev/null -w '%{http_code}\\n' -H 'Authorization: Bearer " +
			KeyLowRate + "' " + entry + "/dossiers/42; done"},
		{"the counters of refusals", "curl -s " + operator + "/metrics | grep ferry_refusals_total | grep -v ' 0$'"},
	}
}
