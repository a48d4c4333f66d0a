// Command review runs the test cases of the independent review. Each case starts
// ferry-edge as separate processes, beside stand-ins of the platform, the upstreams and
// the callers, and reports whether a rule was broken.
package main
