package httpwire

import (
	"fmt"
	"slices"
	"strings"
)

// framingFields are the fields that say where a body ends, and to which server a request goes. They apply to the whole message, so no connection option
// may name them.
var framingFields = []string{fieldContentLength, fieldTransferEncoding, fieldHost}

// Names of fields, in lower case.
const (
	fieldConnection       = "connection"
	fieldContentLength    = "content-length"
	fieldTransferEncoding = "transfer-encoding"
	fieldHost             = "host"
)

// hopByHopFields are the fields that apply to one connection only and are not forwarded.
var hopByHopFields = []string{fieldConnection, fieldContentLength, fieldTransferEncoding, "keep-alive", "proxy-connection", "proxy-authenticate",
	"proxy-authorization", "te", "upgrade"}

// dropConnectionOptions removes the fields that the message's Connection fields name, so that whoever reads the head sees what is forwarded.
func (h *Head) dropConnectionOptions() error {
	options := h.connectionOptions()
	for _, option := range options {
		if slices.Contains(framingFields, option) {
			return syntaxError("field Connection names %s", option)
		}
	}
	if len(options) == 0 {
		return nil
	}
	h.Headers = slices.DeleteFunc(h.Headers, func(field Header) bool {
		name := strings.ToLower(field.Name)
		return name != fieldConnection && slices.Contains(options, name)
	})
	return nil
}

// connectionOptions returns the options of the Connection fields in lower case, but for the two that name no field to drop.
func (h *Head) connectionOptions() (options []string) {
	for i := range h.Headers {
		if !strings.EqualFold(h.Headers[i].Name, fieldConnection) {
			continue
		}
		for option := range strings.SplitSeq(h.Headers[i].Value, ",") {
			option = strings.ToLower(strings.Trim(option, fieldSpace))
			if option != "" && option != "close" && option != "keep-alive" {
				options = append(options, option)
			}
		}
	}
	return options
}

// AppendFields appends the fields that are forwarded to the next connection, except those in except, which are in lower case. Those that say where the
// body ends are not among them: AppendFraming states that. The head is complete.
func (h *Head) AppendFields(dst []byte, except ...string) []byte {
	for _, field := range h.Headers {
		dst = appendField(dst, field, except)
	}
	return dst
}

// AppendField is AppendFields for one field of a head that is read line by line.
func (h *Head) AppendField(dst []byte, field Header, except ...string) []byte {
	if h.Has(fieldConnection, field.Name) {
		return dst
	}
	return appendField(dst, field, except)
}

func appendField(dst []byte, field Header, except []string) []byte {
	name := strings.ToLower(field.Name)
	if slices.Contains(hopByHopFields, name) || slices.Contains(except, name) {
		return dst
	}
	dst = append(dst, field.Name...)
	dst = append(dst, ": "...)
	dst = append(dst, field.Value...)
	return append(dst, lineEnd...)
}

// AppendFraming appends the field that says where the body ends, as RequestBody or AnswerBody follows it.
func (h *Head) AppendFraming(dst []byte) []byte {
	withoutLength := h.Status != 0 && h.Status != statusNotModified && hasNoBody(h.Status)
	switch {
	case withoutLength:
		return dst
	case h.Chunked:
		return append(dst, "Transfer-Encoding: chunked\r\n"...)
	case h.Length >= 0:
		return fmt.Appendf(dst, "Content-Length: %d\r\n", h.Length)
	}
	return dst
}
