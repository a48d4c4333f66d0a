package sharetable_test

import (
	"fmt"
	"time"

	"samphireferry.example/ferry/sharetable"
)

// A driver divides the whole equally between two instances, and a member derives its
// shares from the table.
func Example() {
	now := time.Unix(0, 0)
	driver := sharetable.NewDriver(sharetable.DriverSettings{})
	driver.SetMembers(now, sharetable.View{ListRead: true, Candidates: []sharetable.Candidate{
		{Name: "10.0.0.1:80", Incarnation: "p", WitnessGroup: "a", Listed: true, Reachable: true},
		{Name: "10.0.0.2:80", Incarnation: "q", WitnessGroup: "a", Listed: true, Reachable: true},
	}})
	write, _ := driver.Plan(now)
	driver.Done(write, 1, nil)

	member := sharetable.NewMember(sharetable.MemberSettings{Name: "10.0.0.1:80", Incarnation: "p"}, now)
	member.Adopt(driver.Table())
	for _, share := range member.Divide([]sharetable.Customer{{Name: "university", Rate: 100, Burst: 40}}) {
		fmt.Printf("%s: rate %.0f/s, burst %d\n", share.Customer.Name, share.Rate, share.Burst)
	}
	// Output: university: rate 50/s, burst 20
}
