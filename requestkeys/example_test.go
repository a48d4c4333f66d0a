package requestkeys_test

import (
	"fmt"
	"time"

	"samphireferry.example/ferry/requestkeys"
	"samphireferry.example/ferry/rpc/entrypb"
)

func Example() {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	home := requestkeys.NewHome(requestkeys.Config{Incarnation: "e1_7"}, now)
	key := home.Name(now) + ".filing-1"
	claim := func(claimant string) entrypb.ClaimState {
		return home.Claim(&entrypb.ClaimRequest{Key: key, Customer: "mit", Claimant: claimant, DeadlineMs: 1000}, now).GetState()
	}
	fmt.Println(key)
	fmt.Println(claim("e2:1"), claim("e3:1"))
	home.Complete(&entrypb.CompleteRequest{Key: "mit/" + key, Claimant: "e2:1", Result: entrypb.CompleteRequest_RAN}, now)
	fmt.Println(claim("e3:1"))
	// Output:
	// e1_7~0.filing-1
	// CLAIMED IN_PROGRESS
	// DONE
}
