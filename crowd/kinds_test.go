package crowd

import (
	"encoding/binary"
	"fmt"
	"strconv"
	"strings"
	"time"

	"mothcart/platform"
	"mothcart/platform/fake"
)

const (
	// heldHead is the size of a head that is held open, in bytes: under the 64 KiB that a process reads of a head.
	heldHead = 60 << 10
	// tooLongHead is the size of a head that is over each limit, in bytes.
	tooLongHead = 256 << 10
	// endlessBytes bounds what a connection sends that sends without end, in bytes, and blockBytes what it sends at once.
	endlessBytes = 1 << 20
	blockBytes   = 16 << 10
	// slowInterval is the time between two bytes of a slow head.
	slowInterval = 100 * time.Millisecond
	// frameBytes is the largest frame between nodes.
	frameBytes = 4 << 20

	requestHead = "POST /fetch/1 HTTP/1.1\r\nHost: " + fake.Host + "\r\n"
	chunkedHead = requestHead + platform.RequestIDHeader + ": c\r\nTransfer-Encoding: chunked\r\n\r\n"
)

// fields returns fields of a head whose names are all different, as short as they can be, of a number of bytes.
func (c *client) fields(size int) string {
	var b strings.Builder
	for n := c.rng.IntN(1000); b.Len() < size; n++ {
		b.WriteString("x" + strconv.FormatInt(int64(n), 36) + ":\r\n")
	}
	return b.String()
}

// repeat sends a text again and again, up to endlessBytes, and then keeps the connection.
func (c *client) repeat(text string) {
	block := strings.Repeat(text, max(1, blockBytes/len(text)))
	for sent := 0; sent < endlessBytes; sent += len(block) {
		if !c.write(block) {
			return
		}
	}
	c.hold()
}

func smallFields(c *client) {
	c.write(requestHead + c.fields(heldHead))
	c.hold()
}

func longField(c *client) {
	c.write(requestHead + "X: " + strings.Repeat("x", heldHead+c.rng.IntN(2<<10)))
	c.hold()
}

func smallFieldsWithoutEnd(c *client) {
	if c.write(requestHead) {
		c.repeat(c.fields(blockBytes))
	}
}

func fieldWithoutEnd(c *client) {
	if c.write(requestHead + "X: ") {
		c.repeat("x")
	}
}

func emptyLines(c *client) { c.repeat("\r\n") }

func emptyLinesAfterRequest(c *client) {
	if c.write(fmt.Sprintf("%s%s: e%d\r\nContent-Length: 5\r\n\r\nhello", requestHead, platform.RequestIDHeader, c.rng.Uint64())) {
		c.repeat("\r\n")
	}
}

func trailersWithoutEnd(c *client) {
	if c.write(chunkedHead + "5\r\nhello\r\n0\r\n") {
		c.repeat(c.fields(blockBytes))
	}
}

func chunkExtensionWithoutEnd(c *client) {
	if c.write(chunkedHead + "5;x=") {
		c.repeat("x")
	}
}

func headOverTheLimit(c *client) {
	if c.write(requestHead + "X: " + strings.Repeat("x", tooLongHead) + "\r\n\r\n") {
		c.hold()
	}
}

func nothing(c *client) { c.hold() }

func slowHead(c *client) {
	for _, b := range requestHead + c.fields(heldHead) {
		if !c.write(string(b)) || !c.pause(slowInterval) {
			return
		}
	}
}

func declaredBody(c *client) {
	path := []string{"fetch", "lot"}[c.rng.IntN(2)]
	if c.write(fmt.Sprintf("POST /%s/1 HTTP/1.1\r\nHost: %s\r\n%s: b%d\r\nContent-Length: %d\r\n\r\n", path, fake.Host, platform.RequestIDHeader, c.rng.Uint64(), fake.MaxBodyBytes)) {
		c.hold()
	}
}

func frameWithoutEnd(c *client) {
	if !c.write(string(binary.BigEndian.AppendUint32(nil, frameBytes))) {
		return
	}
	block := strings.Repeat("x", blockBytes)
	for sent := 0; sent+len(block) < frameBytes; sent += len(block) {
		if !c.write(block) {
			return
		}
	}
	c.hold()
}

// anyKind does what any of the clients does that send requests.
func anyKind(c *client) {
	kinds := []func(c *client){
		smallFields, longField, smallFieldsWithoutEnd, fieldWithoutEnd, emptyLines, emptyLinesAfterRequest, trailersWithoutEnd,
		chunkExtensionWithoutEnd, headOverTheLimit, nothing, slowHead, declaredBody,
	}
	kinds[c.rng.IntN(len(kinds))](c)
}
