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
//	version, ok := v.Sole(now, service)          // no other version can have begun a stream
//
// # Two sources
//
// Origins records the version of each stream that this instance has begun, and of those
// that other instances have sent it. It is lost with the process. Versions records which
// versions have served at all: while there is only one, it has begun every stream, also
// those that no instance remembers.
package software
