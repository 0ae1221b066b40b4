package engine

// Action is an instruction of a decision module: one of the types below. The
// caller carries it out and passes the result back as an event.
type Action interface{ action() }

func (TraceEvent) action()  {}
func (Dispatch) action()    {}
func (Refuse) action()      {}
func (ReadStatus) action()  {}
func (LoadOrder) action()   {}
func (UnloadOrder) action() {}
func (ReadOwners) action()  {}
func (AcquireRow) action()  {}
func (ReleaseRow) action()  {}
func (RaiseFence) action()  {}
