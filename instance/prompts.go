package instance

// SharedPrompt tells that the sender has sent a server a large prompt that begins with shared
// parts, which the server then keeps. The hashes are those of fleet.SharedPart; instances whose
// software computes them differently don't understand one another's.
type SharedPrompt struct {
	Server string
	Target uint64
	Key    uint64
	Tokens int
}

type wireSharedPrompt struct {
	_      struct{} `cbor:",toarray"`
	Server string
	Target uint64
	Key    uint64
	Tokens int
}

func encodeSharedPrompts(list []SharedPrompt) []wireSharedPrompt {
	var out []wireSharedPrompt
	for _, p := range list {
		out = append(out, wireSharedPrompt{Server: p.Server, Target: p.Target, Key: p.Key, Tokens: p.Tokens})
	}
	return out
}

func decodeSharedPrompts(list []wireSharedPrompt) []SharedPrompt {
	var out []SharedPrompt
	for _, p := range list {
		out = append(out, SharedPrompt{Server: p.Server, Target: p.Target, Key: p.Key, Tokens: p.Tokens})
	}
	return out
}
