package memory

// FreeBytes is how many bytes of input each client may have without asking.
const FreeBytes = 2 << 10

// Client is what one client holds of an account. The zero value holds nothing.
type Client struct{ connection, input, answers Charge }

// Set changes what the client holds: the state of its connection; its input, in buffers and on the way to a server; and its answers.
func (c *Client) Set(account *Account, connection, input, answers int) {
	c.connection.Set(account, Connections, connection)
	c.input.Set(account, Input, max(0, input-FreeBytes))
	c.answers.Set(account, Answers, answers)
}

// Held returns what the client holds besides its connection.
func (c *Client) Held() int { return c.input.Bytes() + c.answers.Bytes() }

// HoldsMuch reports whether the client holds more than its share.
func (c *Client) HoldsMuch(account *Account) bool { return c.Held() > max(FreeBytes, account.Share()) }

// ReadLimit returns how many bytes may be read from a client at once, which are usual where memory is not short: what was read of an incomplete message
// is held.
func (a *Account) ReadLimit(usual int) int {
	if a.Level() >= HoldReading {
		return FreeBytes
	}
	return usual
}
