package buffers

// Small is the default of Limits.Small in bytes.
const Small = 16 << 10

const (
	// memoryFraction is the fraction of the memory of a machine for heads and bodies.
	memoryFraction = 0.25
	// minSmall is the least Limits.Small that LimitsFor returns, in bytes.
	minSmall = 2 << 10
)

// Limits bound a budget. They are in bytes.
type Limits struct {
	// Bytes bounds what all holders hold, Heads the part of it for heads. 0 for Heads allows heads all of it.
	Bytes int64
	Heads int64
	// Small is the size up to which a holder is never ended. 0 stands for the constant Small.
	Small int64
}

// LimitsFor returns the limits for a machine with the memory in bytes and a number of connections. Holders
// that are never ended take at most half of the limit, on however many connections.
func LimitsFor(memory int64, connections int) Limits {
	limit := int64(float64(memory) * memoryFraction)
	return Limits{Bytes: limit, Small: min(Small, max(minSmall, limit/2/int64(connections)))}
}
