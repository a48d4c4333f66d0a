package rollouts_test

import (
	"fmt"
	"time"

	"samphireferry.example/ferry/rollouts"
)

func ExampleJudge() {
	now := time.Now()
	judge := rollouts.NewJudge(10*time.Minute, 1, 1, 1)
	sample := rollouts.Sample{Instance: "entry-1", Route: "dossiers"}
	for second := 0; ; second++ {
		finding := judge.Add(now.Add(time.Duration(second)*time.Second), sample)
		if finding != nil {
			fmt.Println(finding)
			return
		}
		// Each second the old version serves 19 requests, and the new version
		// fails one.
		sample.Old.Requests += 19
		sample.New.Requests++
		sample.New.Failures++
	}
	// Output:
	// failures on route dossiers: new version failed 3 of 3, old version 0 of 57
}
