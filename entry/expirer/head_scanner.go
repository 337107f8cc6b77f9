package expirer

import "bytes"

const (
	// bytesPerHeadLine is the mean size of a header line below which a head of the largest
	// size has too many lines, and minHeadLines the number of lines that is always allowed.
	// Each line takes memory beyond its bytes.
	bytesPerHeadLine = 64
	minHeadLines     = 128
	// headSlack is the size at which a head is not read on, relative to its limit. Smaller
	// ones are refused by the handler, which knows the configuration.
	headSlack = 2
	// byteCost and lineCost are the bytes of memory that a byte and a line of a head take,
	// in buffers and in the parsed headers.
	byteCost = 3
	lineCost = 160
	// requestCost is what a request takes beyond that, in buffers and stacks.
	requestCost = 16 << 10
)

// HeadLimits bounds the head of a request, the request line included.
type HeadLimits struct{ Bytes, Lines int }

// NewHeadLimits returns the limits for heads of up to a number of bytes.
func NewHeadLimits(size int) HeadLimits {
	return HeadLimits{Bytes: headSlack * size, Lines: max(minHeadLines, size/bytesPerHeadLine)}
}

// headScanner counts the bytes and lines of a head as it is read, and finds its end.
type headScanner struct {
	bytes, lines int
	// hasContent is set if the current line has a byte other than a carriage return, and
	// started once there was such a line.
	hasContent, started bool
}

// scan reads on in a head. Size is the number of bytes that belong to it.
func (s *headScanner) scan(p []byte) (size int, ended bool) {
	for size < len(p) {
		line := p[size:]
		end := bytes.IndexByte(line, '\n')
		if end >= 0 {
			line = line[:end]
		}
		s.hasContent = s.hasContent || len(bytes.TrimLeft(line, "\r")) > 0
		size += len(line)
		if end < 0 {
			break
		}
		size++
		s.lines++
		// Empty lines before the request line do not end the head.
		ended = s.started && !s.hasContent
		s.started = s.started || s.hasContent
		s.hasContent = false
		if ended {
			break
		}
	}
	s.bytes += size
	return size, ended
}

func (s *headScanner) exceeds(l HeadLimits) bool { return s.bytes > l.Bytes || s.lines > l.Lines }

// cost returns the memory that the request takes without its body, in bytes.
func (s *headScanner) cost() int64 {
	return requestCost + int64(s.bytes)*byteCost + int64(s.lines)*lineCost
}
