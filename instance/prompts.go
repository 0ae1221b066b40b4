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
	return convert(list, func(p SharedPrompt) wireSharedPrompt {
		return wireSharedPrompt{Server: p.Server, Target: p.Target, Key: p.Key, Tokens: p.Tokens}
	})
}

func decodeSharedPrompts(list []wireSharedPrompt) []SharedPrompt {
	return convert(list, func(p wireSharedPrompt) SharedPrompt {
		return SharedPrompt{Server: p.Server, Target: p.Target, Key: p.Key, Tokens: p.Tokens}
	})
}
