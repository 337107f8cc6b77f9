// Package allotter divides the memory and the file descriptors of a VM among what peers can
// make a process hold. It handles callers and other peers without number: the sum of all
// parts stays within the VM.
package allotter

import (
	"cmp"
	"math"
	"syscall"
	"time"

	"samphiremux/entry/buffersizer"
	"samphiremux/entry/reserver"
)

const (
	// defaultDescriptors is the number of file descriptors of the smallest VM. It holds if
	// neither the settings nor the process have a limit.
	defaultDescriptors = 4100
	// ownDescriptors is the number of descriptors for the listeners, the store and links
	// that the entry opens.
	ownDescriptors = 32
	// holdShare is the part of the memory for request heads and bodies, and for responses
	// that callers read slowly. The heap takes up to 1.4 times as much, since that is when
	// the collector runs. Of the smallest VM it is 18 MiB; its link brings 10 MB in 8 s.
	holdShare = 0.1
	// bodyShare is the part of the memory for the largest request body, and what else
	// callers hold. The collector keeps the rest of the heap within heapShare.
	bodyShare = 0.75
	heapShare = 0.85
	// linkMemoryShare is the part of the memory for messages of other entries, and
	// minLinkBytes is enough for the largest one.
	linkMemoryShare = 1.0 / 16
	minLinkBytes    = 5 << 20
	// bufferShare is the part of the memory for response bodies that are being read. While
	// they grow and until they are collected they take several times as much.
	bufferShare    = 1.0 / 16
	maxBufferBytes = 64 << 20
	// keyShare is the part of the memory for idempotency keys and the responses stored for them.
	keyShare    = 1.0 / 16
	maxKeyBytes = 32 << 20
	// connectionMemoryShare is the part of the memory for callers' connections, and
	// connectionBytes what an idle one takes (27 MiB for 3,000 were measured).
	connectionMemoryShare = 0.2
	connectionBytes       = 10 << 10
	// socketShare is the part of the memory for the kernel's send buffers of all sockets. The process
	// itself took up to 103 of the 184 MB of the smallest VM.
	socketShare = 0.4
	// unboundedMemory stands for the memory of a VM whose settings give none.
	unboundedMemory = 4 << 30
)

// Shares of the descriptors that are not the entry's own. If all entries but one are lost,
// the last one gets the connections of up to 2,400 callers, and each entry has one link to
// another one.
const (
	CallerShare    = 0.6
	ServerShare    = 0.15
	LinkShare      = 0.125
	DelegatedShare = 0.03
	LocateShare    = 0.03
	OtherShare     = 0.01
)

// GCPercent is the garbage collector's target percentage. It is low since peak memory is
// scarcer than time.
const GCPercent = 40

// Allotter divides the limits of one VM. It is immutable.
type Allotter struct {
	memory float64
	// limited is set if the settings give the memory.
	limited     bool
	descriptors int
}

// New returns the allotter of a VM with a memory in bytes and a number of file descriptors.
// Zero means that a limit is not known.
func New(memory int64, descriptors int) Allotter {
	return Allotter{
		memory: float64(cmp.Or(memory, unboundedMemory)), limited: memory > 0,
		descriptors: max(1, cmp.Or(descriptors, ownLimit(), defaultDescriptors)-ownDescriptors),
	}
}

// ownLimit returns the number of descriptors that the operating system allows the process,
// or zero if that is not known.
func ownLimit() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return 0
	}
	return int(limit.Cur)
}

// Connections returns the number of connections for a share of the descriptors. The memory
// that the connections of one listener take bounds it too.
func (a Allotter) Connections(share float64) int {
	return max(2, min(int(share*float64(a.descriptors)), int(connectionMemoryShare*a.memory/connectionBytes)))
}

// Requests returns a reserver for what callers, and entries that pass requests on, send, and
// for responses that callers read slowly.
func (a Allotter) Requests() *reserver.Reserver {
	return reserver.New(int64(holdShare * a.memory)).WithLone(int64(bodyShare * a.memory))
}

// Link returns a reserver for what entries send over the link.
func (a Allotter) Link() *reserver.Reserver {
	return reserver.New(max(minLinkBytes, int64(linkMemoryShare*a.memory)))
}

// BufferBytes returns the bytes of response bodies that may be read from servers at the same
// time.
func (a Allotter) BufferBytes() int64 { return min(int64(bufferShare*a.memory), maxBufferBytes) }

// KeyBytes returns the bytes of idempotency keys and of the responses stored for them.
func (a Allotter) KeyBytes() int { return min(int(keyShare*a.memory), maxKeyBytes) }

// Sockets returns a sizer of the buffers of all sockets. It keeps the least size of a buffer for
// each connection that may be open.
func (a Allotter) Sockets() *buffersizer.Sizer {
	connections := 0
	for _, share := range []float64{CallerShare, ServerShare, LinkShare, DelegatedShare, LocateShare, OtherShare, OtherShare} {
		connections += a.Connections(share)
	}
	return buffersizer.New(max(0, int64(socketShare*a.memory)-int64(connections*buffersizer.LeastBytes)), time.Now)
}

// HeapBytes returns the memory limit of the runtime, or zero if the settings give none.
func (a Allotter) HeapBytes() int64 {
	if !a.limited {
		return 0
	}
	return int64(heapShare * a.memory)
}
