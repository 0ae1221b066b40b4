package software

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxOriginsPerGeneration bounds the memory of Origins, to about 6 MB.
const maxOriginsPerGeneration = 1 << 16

// StreamKey identifies a stream: a hash of the ID of the request that received its first
// event.
type StreamKey uint64

// KeyOf returns the key of the stream whose first event a request received.
func KeyOf(requestID string) StreamKey { return StreamKey(xxhash.Sum64String(requestID)) }

// Origin is the software version that began a stream.
type Origin struct {
	Stream   StreamKey
	Software string
}

// Origins records which software versions began streams. A stream is forgotten between
// one and two retention times after it was recorded. Times are readings of the boot
// clock.
type Origins struct {
	retention time.Duration
	since     time.Duration // start of the newer generation
	newer     map[StreamKey]string
	older     map[StreamKey]string
}

// NewOrigins returns an empty record.
func NewOrigins(retention time.Duration) *Origins {
	return &Origins{retention: retention, newer: map[StreamKey]string{}, older: map[StreamKey]string{}}
}

// Record records which version began a stream, in place of what was recorded before: until
// its first event, a request may be sent to several servers.
func (o *Origins) Record(now time.Duration, origin Origin) {
	o.rotate(now)
	if len(o.newer) >= maxOriginsPerGeneration {
		o.older, o.newer, o.since = o.newer, map[StreamKey]string{}, now
	}
	o.newer[origin.Stream] = origin.Software
}

// Find returns the version that began a stream; ok is false if it is not recorded.
func (o *Origins) Find(now time.Duration, stream StreamKey) (version string, ok bool) {
	o.rotate(now)
	if version, ok = o.newer[stream]; ok {
		return version, true
	}
	version, ok = o.older[stream]
	return version, ok
}

// All returns the recorded streams, in the order of their keys.
func (o *Origins) All(now time.Duration) []Origin {
	o.rotate(now)
	out := make([]Origin, 0, len(o.newer)+len(o.older))
	for _, generation := range []map[StreamKey]string{o.newer, o.older} {
		for stream, version := range generation {
			out = append(out, Origin{stream, version})
		}
	}
	slices.SortFunc(out, func(a, b Origin) int {
		if a.Stream < b.Stream {
			return -1
		}
		return 1
	})
	return out
}

// SetRetention changes the retention time.
func (o *Origins) SetRetention(d time.Duration) { o.retention = d }

func (o *Origins) rotate(now time.Duration) {
	switch age := now - o.since; {
	case age < o.retention:
	case age < 2*o.retention:
		o.older, o.newer, o.since = o.newer, map[StreamKey]string{}, o.since+o.retention
	default:
		o.older, o.newer, o.since = map[StreamKey]string{}, map[StreamKey]string{}, now
	}
}
