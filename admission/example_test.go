package admission_test

import (
	"fmt"
	"time"

	"samphireferry.example/ferry/admission"
	"samphireferry.example/ferry/sharetable"
)

// A limiter starts with empty buckets and admits requests at the rate of its share.
func Example() {
	now := time.Unix(0, 0)
	limiter := admission.NewLimiter(admission.Settings{}, now)
	limiter.Configure(now, []sharetable.Share{{
		Customer: sharetable.Customer{Name: "university", Rate: 100, Burst: 40},
		Rate:     2,
		Burst:    4,
	}}, true)
	bucket := limiter.Bucket("university")
	refusal := limiter.Admit(now, bucket)
	fmt.Println(refusal.Err(), refusal.RetryAfter)
	fmt.Println(limiter.Admit(now.Add(refusal.RetryAfter), bucket).Admitted)
	// Output:
	// rate_exceeded 500ms
	// true
}
