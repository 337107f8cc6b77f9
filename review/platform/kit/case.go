package kit

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

var (
	recordFile *os.File
	recordMu   sync.Mutex
	began      = time.Now()
	cleanups   []func()
)

// Case is the environment of a case.
type Case struct {
	Program, Folder string
	Trouble         bool
}

// Open reads the command line and opens the record.
func Open() Case {
	record := flag.String("record", "record.txt", "file to write")
	program := flag.String("program", "target/steer", "program of the deploy file")
	flag.Parse()
	var err error
	if recordFile, err = os.Create(*record); err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		Fail("%v", err)
	}
	Defer(func() { _ = os.RemoveAll(folder) })
	if _, err := os.Stat(*program); err != nil {
		Fail("%v", err)
	}
	c := Case{Program: *program, Folder: folder, Trouble: os.Getenv("TROUBLE") != "0"}
	Log("trouble: %v", c.Trouble)
	return c
}

// Defer adds a function that is called before the exit.
func Defer(f func()) { cleanups = append(cleanups, f) }

// StopAll kills the machines' processes at the exit.
func StopAll(machines []*Machine) {
	Defer(func() {
		for _, m := range machines {
			m.Signal(9)
		}
	})
}

// Log writes a line to the record.
func Log(format string, args ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	line := fmt.Sprintf("%8.3f s  %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, args...))
	_, _ = recordFile.WriteString(line)
}

// Exit ends the case: 1 if the rule was broken, else 0.
func Exit(broken bool, verdict string, args ...any) {
	text := fmt.Sprintf(verdict, args...)
	Log("%s", text)
	fmt.Println(text)
	code := 0
	if broken {
		code = 1
	}
	end(code)
}

// Fail ends a case that could not run.
func Fail(format string, args ...any) {
	if recordFile != nil {
		Log("could not run: "+format, args...)
	}
	fmt.Printf("could not run: "+format+"\n", args...)
	end(2)
}

func end(code int) {
	for i := len(cleanups) - 1; i >= 0; i-- {
		cleanups[i]()
	}
	_ = recordFile.Close()
	os.Exit(code)
}

var lastID atomic.Int64

// NewID returns a new request id.
func NewID() string { return fmt.Sprintf("%08x%08x", time.Now().UnixNano()&0xffffffff, lastID.Add(1)) }

// Client is a client's connection.
type Client struct {
	net.Conn
	in *bufio.Reader
	id string
}

// Connect opens a connection to a machine.
func Connect(address string) (*Client, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &Client{Conn: c, in: bufio.NewReader(c)}, nil
}

// Answer is an answer to a client.
type Answer struct {
	Status int
	Header map[string]string
	Body   string
}

// Send writes the head of a request, and records it.
func (c *Client) Send(method, target, host, id string, deadline time.Duration, bodyBytes int64) error {
	c.id = id
	Log("client sends %s to %s: %s %s, body of %d bytes", id, c.RemoteAddr(), method, target, bodyBytes)
	_, err := fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n",
		method, target, host, id, deadline.Milliseconds(), bodyBytes)
	return err
}

// Receive reads an answer, and records it.
func (c *Client) Receive(timeout time.Duration) (a Answer, err error) {
	defer func() {
		if err != nil {
			Log("client gets no whole answer for %s: %v", c.id, err)
			return
		}
		Log("client gets %d for %s, signature %q", a.Status, c.id, a.Header["x-server-signature"])
	}()
	_ = c.SetReadDeadline(time.Now().Add(timeout))
	line, err := c.in.ReadString('\n')
	if err != nil {
		return a, err
	}
	fields := strings.SplitN(line, " ", 3)
	if len(fields) < 2 {
		return a, fmt.Errorf("status line %q", line)
	}
	a.Status, _ = strconv.Atoi(fields[1])
	a.Header = map[string]string{}
	for {
		line, err := c.in.ReadString('\n')
		if err != nil {
			return a, err
		}
		line = strings.TrimRight(line, "\r\n")
		if line == "" {
			break
		}
		name, value, _ := strings.Cut(line, ":")
		a.Header[strings.ToLower(name)] = strings.TrimSpace(value)
	}
	n, _ := strconv.Atoi(a.Header["content-length"])
	body := make([]byte, n)
	_, err = io.ReadFull(c.in, body)
	a.Body = string(body)
	return a, err
}
