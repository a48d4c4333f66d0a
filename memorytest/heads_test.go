package memorytest

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The limits of the process and the set of clients are fixed: they were chosen before the bounds of
// heads were built.
const (
	// headsMemory is the memory of the machine in bytes. The peak of the resident memory must stay
	// within it.
	headsMemory = 80 << 20
	// headsDescriptors bounds the open descriptors: those of the clients and 60 for the process.
	headsDescriptors = manyLineClients + endlessClients + largeClients + emptyLineClients + 60
	// manyLineClients send a head of legal size made of short lines, and no body; every second one
	// presents a valid key.
	manyLineClients = 300
	// endlessClients send a head without end, largeClients a head over the limit, and
	// emptyLineClients empty lines without end.
	endlessClients   = 40
	largeClients     = 40
	emptyLineClients = 20
	// endlessBytes is what a client without end sends at most.
	endlessBytes = 1 << 20
	// openTime is how long a client keeps its connection open after it has sent all. It is no bound
	// on the process.
	openTime = 2 * time.Second
)

// manyLinesHead returns a head of legal size made of short lines with distinct names, and a length.
func manyLinesHead(client int) string {
	var head strings.Builder
	head.WriteString("POST /read/7 HTTP/1.1\r\nHost: a.example\r\nContent-Length: 1000\r\n")
	if client%2 == 0 {
		head.WriteString("Authorization: Bearer " + key + "\r\n")
	}
	for line := 0; head.Len() < headerBytes-20; line++ {
		fmt.Fprintf(&head, "%x:\r\n", line)
	}
	head.WriteString("\r\n")
	return head.String()
}

// headClients returns what each of the clients sends.
func headClients() []string {
	const start = "GET /read/7 HTTP/1.1\r\nHost: a.example\r\n"
	var texts []string
	for client := range manyLineClients {
		texts = append(texts, manyLinesHead(client))
	}
	for range endlessClients {
		texts = append(texts, start+strings.Repeat("a:\r\n", endlessBytes/4))
	}
	for range largeClients {
		texts = append(texts, start+"a: "+strings.Repeat("b", 2*headerBytes)+"\r\n\r\n")
	}
	for range emptyLineClients {
		texts = append(texts, strings.Repeat("\r\n", endlessBytes/2))
	}
	return texts
}

// Guards against a process that runs out of the memory of its machine since clients send heads of
// many short lines with bodies that never arrive, heads without end and empty lines without end.
func TestHeadsOfUncontrolledClientsStayWithinTheMemory(t *testing.T) {
	e := startEdge(t, "-memory", fmt.Sprintf("%dMiB", headsMemory>>20), "-max-connections", "1000", "-header-timeout", "5s", "-idle-timeout", "5s")
	before := e.peakMemory(t)
	texts := headClients()
	var sending sync.WaitGroup
	for _, text := range texts {
		conn, err := net.Dial("tcp", e.callers)
		assert.NilError(t, err)
		defer conn.Close()
		sending.Go(func() {
			// The instance may close the connection at any time.
			_, _ = io.WriteString(conn, text)
			// Leaves the instance time to read what was sent.
			_ = conn.SetReadDeadline(time.Now().Add(openTime))
			_, _ = io.Copy(io.Discard, conn)
		})
	}
	e.waitServing(t)
	descriptors := e.descriptors(t)
	sending.Wait()
	descriptors = max(descriptors, e.descriptors(t))
	peak := e.peakMemory(t)
	t.Logf("%d clients: peak %d MiB (%d before), %d descriptors", len(texts), peak>>20, before>>20, descriptors)
	select {
	case <-e.ended:
		t.Fatalf("the process ended: %v", e.err)
	default:
	}
	assert.Assert(t, peak <= headsMemory, "the process held %d MiB, its machine has %d", peak>>20, headsMemory>>20)
	assert.Assert(t, descriptors <= headsDescriptors, "%d open descriptors", descriptors)
	e.waitServing(t)
}
