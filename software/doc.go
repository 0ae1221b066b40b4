// Package software keeps streams on the software version that began them. Servers of
// several versions may serve one service side by side, and what two versions write does
// not fit together. A caller that takes up a broken stream names the request that
// received its first event, but not the version.
//
// # Usage
//
//	o := software.NewOrigins(retention)
//	o.Record(now, requestID, "v1")               // the first event of a stream is relayed
//	version, ok := o.Find(now, requestID)        // a caller takes the stream up
//
//	v := software.NewVersions(retention)
//	v.Observe(now, listed)                       // the list of servers has been read
//	v.ApplyRow(row)                              // a row has been read from the store
//	for _, row := range v.Changes(now, slot) {}  // rows to write
//	v.ApplyRow(row)                              // read since the caller's request came
//	version, ok := v.Sole(now, service)          // no other version can have begun a stream
//
// # Two sources
//
// Origins records the version of each stream that this instance has begun, and of those
// that other instances have sent it. It is lost with the process. Versions records which
// versions have served at all: while there is only one, it has begun every stream, also
// those that no instance remembers. An instance may have been suspended or cut off while a
// version was added, so the row is read again before a stream's version is derived from it.
//
// # Invariants
//
// The versions of a service are kept in a row of the platform's store, since the list of
// servers shows one version alone as soon as the other's last server has left. A version
// is added before its first stream begins. It is removed when an instance has seen none
// of its servers for the retention time, in which each of its streams has ended; no time
// is kept in the row, so an instance that has just started begins to wait anew. Rows are
// written under the condition that they have not changed.
package software
