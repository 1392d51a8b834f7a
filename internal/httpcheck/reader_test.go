package httpcheck

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
)

var malformed = map[string]string{
	"blank in a name":              "HTTP/1.1 200 OK\r\nX Y: z\r\nContent-Length: 0\r\n\r\n",
	"blank before the colon":       "HTTP/1.1 200 OK\r\nContent-Length : 3\r\n\r\nabc",
	"encoding with a blank":        "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
	"tab in a name":                "HTTP/1.1 200 OK\r\nX\tY: z\r\n\r\n",
	"control byte in a name":       "HTTP/1.1 200 OK\r\nX\x01Y: z\r\n\r\n",
	"byte above ASCII in a name":   "HTTP/1.1 200 OK\r\nX\xe9: z\r\n\r\n",
	"control byte in a value":      "HTTP/1.1 200 OK\r\nX: a\x00b\r\n\r\n",
	"carriage return in a value":   "HTTP/1.1 200 OK\r\nX: a\rY: b\r\n\r\n",
	"no colon":                     "HTTP/1.1 200 OK\r\nX\r\n\r\n",
	"empty name":                   "HTTP/1.1 200 OK\r\n: z\r\n\r\n",
	"folded field":                 "HTTP/1.1 200 OK\r\nX: a\r\n b\r\n\r\n",
	"bare line feed":               "HTTP/1.1 200 OK\r\nX: a\n\r\n",
	"status 000":                   "HTTP/1.1 000 OK\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
	"status 099":                   "HTTP/1.1 099 OK\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
	"status 600":                   "HTTP/1.1 600 OK\r\nContent-Length: 0\r\n\r\n",
	"status with a sign":           "HTTP/1.1 +20 OK\r\nContent-Length: 0\r\n\r\n",
	"status of two digits":         "HTTP/1.1 20 OK\r\nContent-Length: 0\r\n\r\n",
	"control byte in the reason":   "HTTP/1.1 200 O\x07K\r\nContent-Length: 0\r\n\r\n",
	"another version":              "HTTP/1.2 200 OK\r\nContent-Length: 0\r\n\r\n",
	"another protocol":             "ICY 200 OK\r\n\r\n",
	"length with a sign":           "HTTP/1.1 200 OK\r\nContent-Length: +3\r\n\r\nabc",
	"list of lengths":              "HTTP/1.1 200 OK\r\nContent-Length: 3, 3\r\n\r\nabc",
	"two lengths":                  "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc",
	"length and encoding":          "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"unknown encoding":             "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
	"encoding in HTTP/1.0":         "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"chunk size with a sign":       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\n",
	"empty chunk size":             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n\r\n",
	"chunk longer than its size":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab\r\n0\r\n\r\n",
	"control byte in an extension": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;x=\x01\r\na\r\n0\r\n\r\n",
	"blank in a trailer's name":    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nX Y: z\r\n\r\n",
	"interim with a blank":         "HTTP/1.1 103 Early\r\nX Y: z\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
	"endless line":                 "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("a", maxLine),
	"endless trailer":              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + strings.Repeat("X: y\r\n", maxTrailer),
}

var wellFormed = map[string]string{
	"length":                "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc",
	"no reason":             "HTTP/1.1 200\r\nContent-Length: 0\r\n\r\n",
	"same length twice":     "HTTP/1.1 200 OK\r\nContent-Length: 3\r\ncontent-length: 3\r\n\r\nabc",
	"chunks":                "HTTP/1.1 200 OK\r\ntransfer-encoding: Chunked\r\n\r\n3;a=b\r\nabc\r\n0\r\nX: y\r\n\r\n",
	"values":                "HTTP/1.1 200 OK\r\nA:\r\nB: \xe9 \t\r\nC:x:y \r\nContent-Length: 0\r\n\r\n",
	"interim":               "HTTP/1.1 103 Early\r\nX: y\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc",
	"no content":            "HTTP/1.1 204 No Content\r\n\r\n",
	"not modified":          "HTTP/1.1 304 Not Modified\r\nContent-Length: 3\r\n\r\n",
	"HTTP/1.0 with length":  "HTTP/1.0 500 Failed\r\nContent-Length: 3\r\n\r\nabc",
	"two on one connection": "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabcHTTP/1.1 204 OK\r\n\r\n",
}

// readAll reads all responses as net/http does and returns their bodies.
func readAll(r io.Reader) (bodies string, err error) {
	buffered := bufio.NewReader(r)
	for {
		if _, err := buffered.Peek(1); err != nil {
			if err == io.EOF {
				err = nil
			}
			return bodies, err
		}
		resp, err := http.ReadResponse(buffered, nil)
		if err != nil {
			return bodies, err
		}
		data, err := io.ReadAll(resp.Body)
		if bodies += string(data); err != nil {
			return bodies, err
		}
	}
}

// TestMalformed guards against reading a malformed response, in one piece or byte by byte.
func TestMalformed(t *testing.T) {
	for name, response := range malformed {
		for how, source := range map[string]io.Reader{
			"in one piece": strings.NewReader(response), "byte by byte": iotest.OneByteReader(strings.NewReader(response)),
		} {
			r := NewReader(source)
			bodies, err := readAll(r)
			if _, after := io.Copy(io.Discard, r); err == nil || !errors.Is(after, ErrMalformed) || r.Idle() {
				t.Errorf("%s, %s: read %.20q, %v, %v", name, how, bodies, err, after)
			}
		}
	}
}

// TestWellFormed guards against rejecting what backend servers may send.
func TestWellFormed(t *testing.T) {
	for name, response := range wellFormed {
		want, err := readAll(strings.NewReader(response))
		if err != nil {
			t.Fatal(err)
		}
		r := NewReader(iotest.OneByteReader(strings.NewReader(response)))
		if bodies, err := readAll(r); err != nil || bodies != want || !r.Idle() {
			t.Errorf("%s: read %q, %v, want %q", name, bodies, err, want)
		}
	}
	unframed := NewReader(strings.NewReader("HTTP/1.1 200 OK\r\n\r\nX Y: z\r\n"))
	if bodies, err := readAll(unframed); err != nil || bodies != "X Y: z\r\n" || unframed.Idle() {
		t.Errorf("without a length: %q, %v", bodies, err)
	}
	head := NewReader(strings.NewReader("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n"))
	head.Expect(http.MethodHead)
	if _, err := io.ReadAll(head); err != nil || !head.Idle() {
		t.Errorf("response to HEAD: %v", err)
	}
}

// FuzzReader checks that the result does not depend on how the bytes arrive, that what is accepted
// has a valid status and fields, and that net/http finds the same end of each response.
func FuzzReader(f *testing.F) {
	for _, list := range []map[string]string{malformed, wellFormed} {
		for _, response := range list {
			if len(response) < 1<<10 { // long ones make the search slow
				f.Add([]byte(response))
			}
		}
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		whole, wholeErr := io.ReadAll(NewReader(strings.NewReader(string(data))))
		bytewise, bytewiseErr := io.ReadAll(NewReader(iotest.OneByteReader(strings.NewReader(string(data)))))
		if string(whole) != string(bytewise) && wholeErr == nil || (wholeErr == nil) != (bytewiseErr == nil) {
			t.Fatalf("%q, %v in one piece; %q, %v byte by byte", whole, wholeErr, bytewise, bytewiseErr)
		}
		checkOneResponse(t, data)
	})
}

// checkOneResponse compares the end of the first response with that which net/http finds.
func checkOneResponse(t *testing.T, data []byte) {
	source := strings.NewReader(string(data))
	r := NewReader(iotest.OneByteReader(source))
	buffered := bufio.NewReaderSize(r, 16)
	resp, err := http.ReadResponse(buffered, nil)
	if err != nil {
		return
	}
	if resp.StatusCode < minStatus || resp.StatusCode > maxStatus {
		t.Fatalf("status %d", resp.StatusCode)
	}
	for name, values := range resp.Header {
		if !isToken(name) {
			t.Fatalf("field name %q", name)
		}
		for _, v := range values {
			if !isFieldValue(v) {
				t.Fatalf("field value %q", v)
			}
		}
	}
	if _, err := io.ReadAll(resp.Body); err != nil || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return
	}
	if buffered.Buffered() == 0 && !r.Idle() {
		t.Fatalf("net/http has read a whole response and the reader expects more of it: %q", data)
	}
}
