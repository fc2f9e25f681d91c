package clients

import (
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// Header fields with a query's class and with the ms for which its client waits.
const (
	ClassField = "X-Class"
	WaitField  = "X-Wait-Ms"
)

// ClickHouseClasses returns the classes for the ClickHouse interface, where any member of a group accepts reads and writes.
func ClickHouseClasses() []Class {
	return []Class{
		{
			Name:      "painel",
			Share:     0.25,
			Read:      ReadBounded,
			Bound:     5000,
			Aim:       300,
			Deadline:  1500,
			Worth:     1,
			LateWorth: 0.5,
			Work:      [2]float64{26, 45},
		},
		{Name: "relatorio-mes", Share: 0.45, Read: ReadAny, Aim: 500, Deadline: 2000, Worth: 1, LateWorth: 0.5, Work: [2]float64{65, 110}},
		{Name: "carga", Share: 0.30, Read: Write, Aim: 800, Deadline: 3000, Worth: 2, LateWorth: 0.5, Work: [2]float64{26, 45}},
	}
}

// clickhouseQuery encodes a request for the ClickHouse interface.
func clickhouseQuery(a *Request, c *Class, t *Attempt, patience float64) []byte {
	sql := fmt.Sprintf("SELECT content FROM kv WHERE name = '%s'", a.Key)
	if c.Read == Write {
		sql = fmt.Sprintf("INSERT INTO kv (name, content) VALUES ('%s', unhex('%s'))", a.Key, hex.EncodeToString(Value(a.Key, t.WriteNumber)))
	}
	return fmt.Appendf(nil, "POST /?%s HTTP/1.1\r\nHost: clickhouse\r\nX-ClickHouse-User: escritorio\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n\r\n%s",
		url.Values{"query_id": {t.ID}}.Encode(), ClassField, c.Name, WaitField, max(1, int(math.Floor(patience))), len(sql), sql)
}

// clickhouseAnswer reads an answer of the ClickHouse interface. After a time-out before the first byte it may be called again.
func (l *link) clickhouseAnswer() (answer, error) {
	if _, err := l.reader.Peek(1); err != nil {
		return answer{}, err
	}
	res, err := http.ReadResponse(l.reader, nil)
	if err != nil {
		return answer{}, asBroken(err)
	}
	b, err := io.ReadAll(io.LimitReader(res.Body, 8*maxAnswer))
	if err != nil {
		return answer{}, asBroken(err)
	}
	a := answer{ready: !res.Close}
	switch res.StatusCode {
	case 200:
		a.value = b
	case 503:
		a.code = "53300"
		if s, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64); err == nil {
			a.wait = s * 1000
		}
	default:
		a.code = res.Header.Get("X-ClickHouse-Exception-Code")
		if a.code == "" {
			a.code = strconv.Itoa(res.StatusCode)
		}
	}
	return a, nil
}

// asBroken turns a timeout within an answer into a broken connection, as reading cannot be resumed there.
func asBroken(err error) error {
	var ne net.Error
	if errors.As(err, &ne) && ne.Timeout() {
		return io.ErrUnexpectedEOF
	}
	return err
}

// dialClickHouse connects to a pooler's ClickHouse frontend.
func dialClickHouse(addr string) (*link, error) {
	nc, err := net.DialTimeout("tcp", addr, dialMs*time.Millisecond)
	if err != nil {
		return nil, err
	}
	return newLink(nc), nil
}
