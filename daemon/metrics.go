package daemon

import (
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"samphireferry.example/ferry/admission"
	"samphireferry.example/ferry/balancing"
	"samphireferry.example/ferry/membership"
	"samphireferry.example/ferry/telemetry"
)

// Names of the gauges and counters whose values are read at each scrape.
const (
	metricConfigVersion    = "ferry_config_version"
	metricStoreAge         = "ferry_store_age_seconds"
	metricLeaving          = "ferry_leaving"
	metricShareVersion     = "ferry_share_version"
	metricSharesConfirmed  = "ferry_shares_confirmed"
	metricControlLease     = "ferry_control_lease_held"
	metricPeers            = "ferry_peers"
	metricPoolSlots        = "ferry_pool_slots"
	metricPoolInUse        = "ferry_pool_in_use"
	metricPoolQueued       = "ferry_pool_queued"
	metricClaims           = "ferry_idempotency_claims"
	metricSilentConnection = "ferry_silent_peer_connections_total"
	metricShareRate        = "ferry_customer_share_rate"
	metricShareBurst       = "ferry_customer_share_burst"
	metricAdmitted         = "ferry_customer_admitted_total"
	metricRefused          = "ferry_customer_refused_total"
	metricTokensLent       = "ferry_tokens_lent_total"
	metricTokensBorrowed   = "ferry_tokens_borrowed_total"
	metricTokensDropped    = "ferry_tokens_dropped_total"
)

// writeMetrics writes all metrics of the instance in the Prometheus text format.
func (i *Instance) writeMetrics(w io.Writer) {
	i.deps.metrics.WritePrometheus(w)
	v := i.deps.views.load()
	i.writeControlMetrics(w, v)
	writePeerMetrics(w, v.peers)
	writePoolMetrics(w, v.pools)
	for _, b := range i.deps.limiter.Buckets() {
		writeCustomerMetrics(w, b)
	}
	metrics.WriteGaugeUint64(w, metricClaims, uint64(i.keys.Claims()))
	metrics.WriteCounterUint64(w, metricSilentConnection, i.deps.peers.SilentConnections())
}

func (i *Instance) writeControlMetrics(w io.Writer, v *view) {
	metrics.WriteGaugeUint64(w, metricConfigVersion, i.ConfigVersion())
	metrics.WriteGaugeFloat64(w, metricStoreAge, i.deps.storeAge(time.Now()).Seconds())
	metrics.WriteGaugeUint64(w, metricLeaving, boolValue(v.leaving))
	status := i.deps.status.Load()
	if status == nil {
		return
	}
	metrics.WriteGaugeUint64(w, metricShareVersion, status.shareVersion)
	metrics.WriteGaugeUint64(w, metricSharesConfirmed, boolValue(status.sharesConfirmed))
	metrics.WriteGaugeUint64(w, metricControlLease, boolValue(status.holdsLease))
}

func writePeerMetrics(w io.Writer, peers *membership.Peers) {
	counts := map[membership.Health]uint64{}
	for _, p := range peers.All {
		counts[p.Health]++
	}
	for _, health := range []membership.Health{membership.Alive, membership.Suspect, membership.Silent} {
		metrics.WriteGaugeUint64(w, telemetry.SeriesName(metricPeers, "health", health.String()), counts[health])
	}
}

func writePoolMetrics(w io.Writer, pools *balancing.Pools) {
	for _, vp := range pools.All() {
		load := vp.Pool.Load()
		labels := []string{"service", vp.Key.Service, "version", vp.Key.Version}
		metrics.WriteGaugeUint64(w, telemetry.SeriesName(metricPoolSlots, labels...), uint64(load.Slots))
		metrics.WriteGaugeUint64(w, telemetry.SeriesName(metricPoolInUse, labels...), uint64(load.InUse))
		metrics.WriteGaugeUint64(w, telemetry.SeriesName(metricPoolQueued, labels...), uint64(load.Queued))
	}
}

func writeCustomerMetrics(w io.Writer, b *admission.Bucket) {
	totals := b.Totals()
	labels := []string{"customer", b.Customer()}
	share := b.Share()
	metrics.WriteGaugeFloat64(w, telemetry.SeriesName(metricShareRate, labels...), share.Rate)
	metrics.WriteGaugeUint64(w, telemetry.SeriesName(metricShareBurst, labels...), uint64(share.Burst))
	metrics.WriteCounterUint64(w, telemetry.SeriesName(metricAdmitted, labels...), totals.Admitted+totals.BorrowedSpend)
	metrics.WriteCounterUint64(w, telemetry.SeriesName(metricRefused, labels...), totals.Refused)
	metrics.WriteCounterFloat64(w, telemetry.SeriesName(metricTokensLent, labels...), totals.LentReserve+totals.LentSpend)
	metrics.WriteCounterFloat64(w, telemetry.SeriesName(metricTokensBorrowed, labels...), totals.BorrowedReserve+float64(totals.BorrowedSpend))
	metrics.WriteCounterFloat64(w, telemetry.SeriesName(metricTokensDropped, labels...), totals.Dropped)
}

func boolValue(b bool) uint64 {
	if b {
		return 1
	}
	return 0
}
