package software

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/chestnutstream/chestnutstream"
)

func TestRowsRoundTrip(t *testing.T) {
	value, err := EncodeRow(Row{Service: "s", Versions: []string{"v1", "v2"}})
	assert.NilError(t, err)
	row, err := DecodeRow(chestnutstream.TableRow{Key: RowKey("s"), Value: value, Version: 7})
	assert.NilError(t, err)
	assert.DeepEqual(t, row, Row{Service: "s", Versions: []string{"v1", "v2"}, Revision: 7})
	value, err = EncodeOrigins(map[StreamKey]string{1 << 63: "v2", 5: "v1"})
	assert.NilError(t, err)
	origins, err := DecodeOrigins(value)
	assert.NilError(t, err)
	assert.DeepEqual(t, origins, []Origin{{5, "v1"}, {1 << 63, "v2"}})
}

func TestMalformedRowsAreRejected(t *testing.T) {
	for _, value := range []string{"", "null", "{}", `{"service":"other","versions":["v1"]}`, `{"service":"s","versions":[]}`, `{"service":"s","versions":"v1"}`} {
		_, err := DecodeRow(chestnutstream.TableRow{Key: RowKey("s"), Value: []byte(value), Version: 1})
		assert.Assert(t, err != nil, "%s", value)
	}
	for _, value := range []string{"", "[]", `{"v1":"5"}`, `{"v1":["x"]}`, `{"v1":["10000000000000000"]}`} {
		_, err := DecodeOrigins([]byte(value))
		assert.Assert(t, err != nil, "%s", value)
	}
}

func TestOriginsAreSplitIntoRows(t *testing.T) {
	origins := map[StreamKey]string{}
	for i := range StreamKey(2*MaxOriginsPerRow + 1) {
		origins[i] = "v1"
	}
	rows := SplitOrigins(origins)
	assert.Equal(t, len(rows), 3)
	for _, row := range rows {
		value, err := EncodeOrigins(row)
		assert.NilError(t, err)
		assert.Assert(t, len(value) < 48<<10, "%d bytes", len(value)) // a row holds 64 KB in base64
		for stream := range row {
			delete(origins, stream)
		}
	}
	assert.Equal(t, len(origins), 0)
}

func FuzzDecodeRows(f *testing.F) {
	f.Add([]byte(`{"service":"s","versions":["v1"]}`))
	f.Add([]byte(`{"v1":["a1","ffffffffffffffff"],"":["0"]}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		if row, err := DecodeRow(chestnutstream.TableRow{Key: RowKey("s"), Value: value, Version: 1}); err == nil {
			again, err := EncodeRow(row)
			assert.NilError(t, err)
			decoded, err := DecodeRow(chestnutstream.TableRow{Key: RowKey("s"), Value: again, Version: 1})
			assert.NilError(t, err)
			assert.DeepEqual(t, decoded, row)
		}
		origins, err := DecodeOrigins(value)
		if err != nil {
			return
		}
		latest := map[StreamKey]string{}
		for _, o := range origins {
			latest[o.Stream] = o.Software
		}
		again, err := EncodeOrigins(latest)
		assert.NilError(t, err)
		decoded, err := DecodeOrigins(again)
		assert.NilError(t, err)
		assert.Equal(t, len(decoded), len(latest))
	})
}
