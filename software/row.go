package software

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"

	"github.com/chestnutstream/chestnutstream"
)

// RowPrefix begins the keys of the rows that keep the versions of a service in the
// platform's store, for the case that all instances end.
const RowPrefix = "software/"

// Row lists the versions of a service that may have begun streams.
type Row struct {
	Service  string
	Versions []string // in order
	Revision uint64   // version of the row in the store; 0: not read yet
}

type wireRow struct {
	Service  string   `json:"service"`
	Versions []string `json:"versions"`
}

// RowKey returns the key of a service's row.
func RowKey(service string) string { return RowPrefix + service }

// EncodeRow returns the value of a row.
func EncodeRow(r Row) ([]byte, error) {
	value, err := json.Marshal(wireRow{r.Service, r.Versions})
	if err != nil {
		return nil, fmt.Errorf("encode versions of service %q: %w", r.Service, err)
	}
	return value, nil
}

// DecodeRow decodes a row of the store. It fails if the row names another service than
// its key, or no versions.
func DecodeRow(row chestnutstream.TableRow) (Row, error) {
	var w wireRow
	if err := json.Unmarshal(row.Value, &w); err != nil {
		return Row{}, fmt.Errorf("decode versions of a service: %w", err)
	}
	if w.Service == "" || RowKey(w.Service) != row.Key || len(w.Versions) == 0 {
		return Row{}, fmt.Errorf("decode %s: got service %q with %d versions", row.Key, w.Service, len(w.Versions))
	}
	slices.Sort(w.Versions)
	return Row{w.Service, w.Versions, row.Version}, nil
}

// OriginTable is the table of the platform's store that keeps the origins of streams while
// a service has several versions.
const OriginTable = "streams"

// MaxOriginsPerRow limits the origins in one row, to about 40 KB.
const MaxOriginsPerRow = 2000

// SplitOrigins splits origins into rows.
func SplitOrigins(origins map[StreamKey]string) []map[StreamKey]string {
	var out []map[StreamKey]string
	for stream, version := range origins {
		if len(out) == 0 || len(out[len(out)-1]) >= MaxOriginsPerRow {
			out = append(out, map[StreamKey]string{})
		}
		out[len(out)-1][stream] = version
	}
	return out
}

// EncodeOrigins returns the value of a row with origins: the keys of the streams, in
// hexadecimal, by version.
func EncodeOrigins(origins map[StreamKey]string) ([]byte, error) {
	w := map[string][]string{}
	for stream, version := range origins {
		w[version] = append(w[version], strconv.FormatUint(uint64(stream), 16))
	}
	value, err := json.Marshal(w)
	if err != nil {
		return nil, fmt.Errorf("encode origins: %w", err)
	}
	return value, nil
}

// DecodeOrigins decodes a row with origins, ordered by version.
func DecodeOrigins(value []byte) ([]Origin, error) {
	var w map[string][]string
	if err := json.Unmarshal(value, &w); err != nil {
		return nil, fmt.Errorf("decode origins: %w", err)
	}
	var out []Origin
	for _, version := range slices.Sorted(maps.Keys(w)) {
		for _, text := range w[version] {
			stream, err := strconv.ParseUint(text, 16, 64)
			if err != nil {
				return nil, fmt.Errorf("decode origins: stream of version %q: %w", version, err)
			}
			out = append(out, Origin{StreamKey(stream), version})
		}
	}
	return out, nil
}
