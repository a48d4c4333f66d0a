package distribution

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/config/dynamic"
	"samphireferry.example/ferry/platform"
	"samphireferry.example/ferry/routing"
	"samphireferry.example/ferry/rpc/entrypb"
)

// benchConfigs returns two successive configurations of n customers, each with
// a key and a route.
func benchConfigs(b *testing.B, n int) [2][]byte {
	var stored [2][]byte
	for version := range stored {
		config := &dynamic.Config{Version: uint64(version + 1), PublishID: fmt.Sprint(version)}
		config.Set.Services = []dynamic.Service{{Name: "lookup"}}
		for i := range n {
			name := fmt.Sprintf("customer-%d", i)
			config.Set.Customers = append(config.Set.Customers, dynamic.Customer{Name: name, Rate: 100, Burst: 10})
			config.Set.Keys = append(config.Set.Keys, dynamic.Key{Name: name, Customer: name, SHA256: fmt.Sprintf("%064x", i)})
			config.Set.Routes = append(config.Set.Routes, dynamic.Route{Name: name, Service: "lookup", PathPrefix: "/" + name, Kind: dynamic.Idempotent})
		}
		value, err := config.Encode()
		assert.NilError(b, err)
		stored[version] = value
	}
	return stored
}

func newBenchState() *State {
	validate := func(config *dynamic.Config) error {
		_, err := routing.Compile(config)
		return err
	}
	return NewState(Options{Self: "self", FailureDomain: "d", Validate: validate, Started: time.Now()})
}

// BenchmarkChange measures one configuration change on one hop: the response to
// a pull including its encoding, and its adoption including decoding, checking
// and validation. The metric is the size of the encoded response in bytes.
func BenchmarkChange(b *testing.B) {
	for _, customers := range []int{8, 512, 2048} {
		values := benchConfigs(b, customers)
		sender := newBenchState()
		for i, value := range values {
			revision := platform.Revision(i + 1)
			sender.ApplyUpdate(Update{Entries: []platform.Entry{{Key: platform.KeyConfig, Value: value, Revision: revision}}, Revision: revision})
		}
		respond := func() []byte {
			data, err := proto.Marshal(sender.Snapshot().Respond(&entrypb.GetConfigRequest{Revision: 1}, time.Now()))
			assert.NilError(b, err)
			return data
		}
		encoded := respond()
		b.Run(fmt.Sprintf("answer/customers=%d", customers), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				respond()
			}
			b.ReportMetric(float64(len(encoded)), "bytes")
		})
		b.Run(fmt.Sprintf("adopt/customers=%d", customers), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				var response entrypb.GetConfigResponse
				assert.NilError(b, proto.Unmarshal(encoded, &response))
				changes := newBenchState().ApplyPull(Pull{Peer: "p"}, &response, nil, time.Now())
				if changes.Config == nil {
					b.Fatal("not adopted")
				}
			}
		})
	}
}

// BenchmarkObservePeer measures the cost of processing a peer's heartbeat, by
// the number of records of moves and roll-outs.
func BenchmarkObservePeer(b *testing.B) {
	for _, records := range []int{3, 300, 3000} {
		s := newBenchState()
		entries := make([]platform.Entry, records)
		for i := range entries {
			entries[i] = platform.Entry{Key: fmt.Sprintf("%s%d", platform.PrefixMoves, i), Value: []byte("{}"), Revision: platform.Revision(i + 1)}
		}
		s.ApplyUpdate(Update{Entries: entries, Revision: platform.Revision(records)})
		state := &entrypb.State{Identity: &entrypb.Identity{Name: "p", FailureDomain: "d"}, StoreRevision: uint64(records)}
		b.Run(fmt.Sprintf("records=%d", records), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				s.ObservePeer(state, time.Now(), time.Now())
			}
		})
	}
}
