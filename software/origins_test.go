package software

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// A stream is found, with the version that was recorded last, for at least the
// retention time, and forgotten after twice that.
func TestOriginsAreKeptForTheRetentionTime(t *testing.T) {
	const retention = 10 * time.Second
	rapid.Check(t, func(rt *rapid.T) {
		o := NewOrigins(retention)
		type record struct {
			at      time.Duration
			version string
		}
		recorded := map[StreamKey]record{}
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now += time.Duration(rapid.IntRange(0, 4000).Draw(rt, "pause")) * time.Millisecond
			stream := StreamKey(rapid.IntRange(0, 5).Draw(rt, "stream"))
			version, ok := o.Find(now, stream)
			r, known := recorded[stream]
			switch age := now - r.at; {
			case known && age < retention && (!ok || version != r.version):
				rt.Fatalf("stream %d of age %v: got %q %t, want %q", stream, age, version, ok, r.version)
			case ok && (!known || age > 2*retention):
				rt.Fatalf("stream %d still found", stream)
			}
			if rapid.Bool().Draw(rt, "record") {
				v := rapid.SampledFrom([]string{"v1", "v2"}).Draw(rt, "version")
				o.Record(now, Origin{stream, v})
				recorded[stream] = record{now, v}
			}
		}
	})
}

func TestOriginsStayWithinTheirBound(t *testing.T) {
	o := NewOrigins(time.Hour)
	for i := range 4 * maxOriginsPerGeneration {
		o.Record(time.Second, Origin{StreamKey(i), "v1"})
	}
	assert.Assert(t, len(o.All(time.Second)) <= 2*maxOriginsPerGeneration)
	_, ok := o.Find(time.Second, 4*maxOriginsPerGeneration-1)
	assert.Assert(t, ok, "the newest stream is forgotten")
}
