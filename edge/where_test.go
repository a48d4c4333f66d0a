package edge

import (
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/canary"
	"samphireferry.example/ferry/operator/where"
	"samphireferry.example/ferry/platform/headers"
	"samphireferry.example/ferry/routing"
	"samphireferry.example/ferry/telemetry"
)

// ask asks the instance where a request of the customer would go.
func (i *instance) ask(path, customer, object string) (*where.Answer, string) {
	i.t.Helper()
	question := url.Values{where.ParamHost: {"a.example"}, where.ParamPath: {path}, where.ParamCustomer: {customer}, where.ParamObject: {object}}
	response, err := http.Get("http://" + i.deps.settings.MetricsListen + where.Path + "?" + question.Encode())
	assert.NilError(i.t, err)
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	assert.NilError(i.t, err)
	if response.StatusCode != http.StatusOK {
		return nil, string(data)
	}
	var answer where.Answer
	assert.NilError(i.t, json.Unmarshal(data, &answer))
	return &answer, string(data)
}

// Guards against an answer that differs from where the request goes, that counts as a request, or
// that shows a key.
func TestWhereNamesTheUpstreamOfTheNextRequest(t *testing.T) {
	const key = "secret-key"
	s := newSystem(t)
	settings := s.settings("e1")
	settings.MetricsListen = s.settings("e2").Listen
	started, err := New(settings, zap.NewNop(), telemetry.New())
	assert.NilError(t, err)
	assert.NilError(t, started.Start())
	i := &instance{Instance: started, t: t}
	defer i.stop()
	answer, _ := i.ask("/read/7", "acme", "o-7")
	assert.Equal(t, answer.Refusal, "no_configuration")

	s.configure(1, key)
	i.waitReady(0)
	refusedAs := func(refusal string) func() bool {
		return func() bool {
			answer, _ = i.ask("/read/7", "acme", "o-7")
			return answer.Refusal == refusal
		}
	}
	eventually(t, "the customer has tokens", refusedAs("no_upstream"))
	upstreams := map[string]*fakeUpstream{}
	for _, id := range []string{"i-1", "i-2", "i-3"} {
		upstreams[id] = newFakeUpstream(t, id)
		s.register(upstreams[id], "v1", "ready")
	}
	draining := newFakeUpstream(t, "i-4")
	s.register(draining, "v1", "draining")
	i.waitReady(4)
	assert.Equal(t, i.sendAbout(http.MethodGet, "/read/7", key, "o-7").status, http.StatusOK)

	eventually(t, "the customer has tokens again", refusedAs(""))
	bucket := i.deps.limiter.Bucket("acme")
	totals, arrivals := bucket.Totals(), i.deps.pool.Arrivals()
	for range 200 {
		answer, _ = i.ask("/read/7", "acme", "o-7")
	}
	assert.Equal(t, bucket.Totals(), totals, "200 questions with a burst of 100 tokens")
	assert.DeepEqual(t, i.deps.pool.Arrivals(), arrivals)
	assert.Equal(t, answer.Refusal, "")
	assert.Equal(t, answer.Route.Name, "read")
	assert.Equal(t, answer.Route.Prefix, "/read/")
	assert.Equal(t, answer.Customer, "acme")
	assert.Equal(t, answer.Service, "lookup")
	assert.Equal(t, answer.Rate.PerSecond, 100.0)
	reasons := map[string]string{}
	for _, c := range answer.Choices[0].Candidates {
		reasons[c.Upstream] = c.Reason
	}
	assert.Equal(t, reasons["i-4"], "draining")
	assert.Equal(t, reasons[answer.Upstream], "chosen")
	got := i.sendAbout(http.MethodGet, "/read/7", key, "o-7")
	assert.Equal(t, got.body, "from "+answer.Upstream)

	for _, test := range []struct{ path, customer, refusal string }{
		{"/other/7", "acme", "unknown_route"},
		{"/read/7", "", "key_missing"},
		{"/read/7", key, "key_unknown"},
	} {
		refused, text := i.ask(test.path, test.customer, "")
		assert.Equal(t, refused.Refusal, test.refusal)
		assert.Assert(t, !strings.Contains(text, key), text)
	}
	_, text := i.ask("read", "acme", "")
	assert.Assert(t, strings.Contains(text, "path must be"), text)
}

// Guards against a question that takes the turn of a request in a split or in a roll-out.
func TestWhereAdvancesNoSplit(t *testing.T) {
	f := newUpstreamFleet(t, 4)
	d := f.control.deps
	parts := []routing.WeightedService{{Service: &routing.Service{Name: "lookup"}, Weight: 0.7}, {Service: &routing.Service{Name: "other"}, Weight: 0.3}}
	newCanary := func() *canary.Split {
		c := canary.NewSplit(func(string) float64 { return 0.5 })
		c.Set(canary.Shares{Unknown: 0.3, Default: 0.3, Ahead: 1})
		return c
	}
	asked, fresh := newSplit(parts), newSplit(parts)
	askedCanary, freshCanary := newCanary(), newCanary()
	v := *d.views.load()
	v.splits = map[string]*split{"read": asked}
	v.versions = map[string]*versionChoice{"lookup": {version: "v2", phase: canary.Canary, split: askedCanary}}
	route := &routing.Route{Name: "read", Timeout: time.Second, Open: true}
	for range 50 {
		x := &exchange{deps: d, view: &v, route: route, started: time.Now(), caller: headers.Caller{ObjectKey: "o"}}
		service, _ := asked.peek()
		x.service = service
		a := &where.Answer{}
		e := x.explain(a)
		assert.Equal(t, e.Chosen != nil, service.Name == "lookup", "the old version serves what finds no upstream of the new one")
		assert.Equal(t, service, fresh.next())
		assert.Equal(t, asked.next(), service)
		if service.Name != "lookup" {
			continue
		}
		next := freshCanary.Next("read")
		assert.Equal(t, a.Choices[0].New, next)
		assert.Equal(t, a.Choices[0].NewShare, 0.3)
		assert.Equal(t, len(a.Choices) == 2, next)
		assert.Equal(t, askedCanary.Next("read"), next)
	}
}
