package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"samphireferry.example/ferry/platform/headers"
)

const (
	// logBytesPerSecond is the rate at which the reader of the log takes bytes.
	logBytesPerSecond = 10 << 20
	// crowd is the number of clients that send odd header lines, crowdPause the pause of each between
	// two requests, crowdFor how long they send.
	crowd      = 64
	crowdPause = 10 * time.Millisecond
	crowdFor   = 40 * time.Second
	// oddBytes is the length of the odd header line. It is below the largest header.
	oddBytes = 30 << 10
	// memoryCheck is the interval at which the memory of the process is read.
	memoryCheck = 100 * time.Millisecond
)

// runLogs has a crowd of clients send requests whose id is a long line of bytes that are no text, to an
// instance whose log is read at a bounded rate. A process beyond the memory of its machine is killed.
func runLogs(r *run) (bool, error) {
	reader, writer, err := os.Pipe()
	if err != nil {
		return false, err
	}
	defer reader.Close()
	defer writer.Close()
	var logged atomic.Int64
	go readLog(reader, &logged)
	s, err := startSystemWith(r, 1, nil, writer)
	defer s.close()
	if err != nil {
		return false, err
	}
	i := s.instances[0]
	ctx, cancel := context.WithTimeout(context.Background(), crowdFor)
	defer cancel()
	c := newCallers(r.record)
	var wait sync.WaitGroup
	wait.Go(func() { c.run(ctx, 4, 50*time.Millisecond, s.addresses()) })
	var sent atomic.Int64
	if r.trouble {
		for range crowd {
			wait.Go(func() { sendOdd(ctx, i.address, &sent) })
		}
	}
	peak, killed := int64(0), false
	for ctx.Err() == nil && i.running() {
		time.Sleep(memoryCheck)
		resident, err := residentBytes(i.pid())
		if err != nil {
			continue
		}
		if resident > peak {
			peak = resident
			r.record.note("the process has %d MiB, %d odd requests sent, %d MiB of log read", peak>>20, sent.Load(), logged.Load()>>20)
		}
		if resident > memory {
			killed = true
			r.record.note("the process is beyond the memory of its machine, %d MiB, and is killed", int64(memory)>>20)
			i.stop(syscall.SIGKILL)
			time.Sleep(time.Second)
			cancel()
		}
	}
	ended := !i.running()
	cancel()
	wait.Wait()
	c.sumAnswers()
	r.record.sum("%d odd requests; peak of the process %d MiB of %d MiB; killed for its memory: %v", sent.Load(), peak>>20, int64(memory)>>20, killed)
	return ended, nil
}

// readLog takes the log at a bounded rate.
func readLog(log io.Reader, total *atomic.Int64) {
	const pieces = 20
	buffer := make([]byte, logBytesPerSecond/pieces)
	for {
		n, err := io.ReadFull(log, buffer)
		total.Add(int64(n))
		if err != nil {
			return
		}
		time.Sleep(time.Second / pieces)
	}
}

// sendOdd sends requests with an odd id on one connection after another.
func sendOdd(ctx context.Context, address string, sent *atomic.Int64) {
	request := fmt.Appendf(nil, "GET /%s/odd HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n\r\n", read, host, headers.AttemptID, bytes.Repeat([]byte{0xff}, oddBytes))
	answer := make([]byte, 4<<10)
	for ctx.Err() == nil {
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			time.Sleep(crowdPause)
			continue
		}
		for ctx.Err() == nil {
			_ = conn.SetDeadline(time.Now().Add(callerDeadline))
			if _, err = conn.Write(request); err != nil {
				break
			}
			if _, err = conn.Read(answer); err != nil {
				break
			}
			sent.Add(1)
			time.Sleep(crowdPause)
		}
		_ = conn.Close()
	}
}

// pid returns the id of the process.
func (i *instance) pid() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.command.Process.Pid
}

// residentBytes returns the resident memory of the process.
func residentBytes(pid int) (int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kib, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")), 10, 64)
			return kib << 10, err
		}
	}
	return 0, errors.Newf("process %d has no resident memory", pid)
}
