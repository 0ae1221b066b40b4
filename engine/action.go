package engine

// Action is what a decision part wants done: one of the types below. The caller
// carries it out outside the part, and hands its result back as an event.
type Action interface{ action() }

func (Noted) action()       {}
func (Dispatch) action()    {}
func (Refuse) action()      {}
func (ReadStatus) action()  {}
func (LoadOrder) action()   {}
func (UnloadOrder) action() {}
func (ReadOwners) action()  {}
func (AcquireRow) action()  {}
func (ReleaseRow) action()  {}
func (RaiseFence) action()  {}
