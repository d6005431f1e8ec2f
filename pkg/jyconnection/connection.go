package jyconnection

// Connection is the state of one caller's connection. The zero value is a new one. It is not safe for concurrent use.
type Connection struct {
	// unanswered is set while a part of a request was read that is not answered yet.
	unanswered bool
	// passedOn is set while a request is passed on that is not answered yet.
	passedOn bool
	// ending is set once the connection is to be closed after the answer.
	ending bool
	closed bool
}

// Read records that bytes were read, and reports whether they may be used. They may not once the connection is closed.
func (c *Connection) Read() bool {
	if c.closed {
		return false
	}
	c.unanswered = true
	return true
}

// PassOn reports whether a request that was read may be passed on, and if so records that it is.
func (c *Connection) PassOn() bool {
	if c.closed {
		return false
	}
	c.unanswered, c.passedOn = true, true
	return true
}

// Answer records that the requests that were passed on are answered, and reports whether to close the connection now.
func (c *Connection) Answer() bool {
	c.unanswered, c.passedOn = false, false
	return c.ending && c.End()
}

// End records that the connection is to be closed, and reports whether to do so now. Otherwise Answer will say so, or it is closed.
func (c *Connection) End() bool {
	c.ending = true
	if c.closed || c.unanswered {
		return false
	}
	c.closed = true
	return true
}

// Close records that the connection is closed, whatever was read.
func (c *Connection) Close() { c.closed = true }

// IsUnanswered reports whether a request was read in part or whole, and is not answered yet.
func (c *Connection) IsUnanswered() bool { return c.unanswered && !c.closed }

// IsPassedOn reports whether a request was passed on and is not answered yet.
func (c *Connection) IsPassedOn() bool { return c.passedOn && !c.closed }
