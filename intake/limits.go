package intake

// Limits are the bounds of a process.
type Limits struct {
	// Memory is the maximum memory in bytes of all connections with their unfinished requests and what is kept of
	// complete ones. The latter takes half of it at most, so that it does not keep ordinary callers out.
	Memory int64
	// Connections holds the maximum number of connections of each gate.
	Connections [gateCount]int
	// Backlog holds the maximum number of connections of each gate that wait to be accepted. 0 leaves it to the kernel.
	Backlog [gateCount]int
	// ReceiveBuffer is the size in bytes of the kernel's receive buffer of a connection, and so the bound of its unread bytes.
	// 0 leaves it to the kernel, which enlarges it as bytes arrive.
	ReceiveBuffer int
}

const (
	// memoryDivisor is the part of the memory of the process that input may use. An idle gateway takes 25 MB, and the
	// garbage collector doubles what is in use.
	memoryDivisor = 3
	// defaultMemory applies if the memory of the process is unknown, in bytes.
	defaultMemory = 256 << 20
	// defaultFiles applies if a process has no limits, as in tests.
	defaultFiles = 1 << 16
	// reservedFiles is the number of descriptors that the platform reserves for files, and reservedDivisor the part of
	// all descriptors that is taken as reserved if they are few.
	reservedFiles   = 200
	reservedDivisor = 4
	// maxProbes bounds the connections of the gates that answer health checks and metrics, and maxReports those of the
	// gate that serves one worker.
	maxProbes  = 64
	maxReports = 256
	// backlogDivisor is the part of the connections of a gate that may wait to be accepted. Gateways get some 20 new
	// connections a second, so that hundreds bridge many seconds in which a process does not run.
	backlogDivisor = 4
	// receiveDivisor is the part of the memory of the process that unread bytes may take. The platform counts them as memory
	// of the process.
	receiveDivisor = 5
	// minReceiveBuffer is the smallest receive buffer in bytes. The kernel offers half of it as window, which holds an
	// ordinary head and body. maxReceiveBuffer is the largest: more would only let a crowd leave more unread where there are
	// few descriptors.
	minReceiveBuffer = 8 << 10
	maxReceiveBuffer = 16 << 10
)

// NewLimits returns the limits of a process with the given memory in MB and number of descriptors. With no known memory
// the limit of a large machine applies.
func NewLimits(memory, files int) Limits {
	sockets := files - min(reservedFiles, files/reservedDivisor)
	l := Limits{Memory: int64(memory) << 20 / memoryDivisor}
	if memory == 0 {
		l.Memory = defaultMemory
	}
	// The rest is for links to other gateways, and for calls of the store and the worker.
	l.Connections = [gateCount]int{
		Callers: sockets * 5 / 8, Links: sockets / 4, Reports: min(maxReports, sockets/4),
		Ready: min(maxProbes, sockets/32), Metrics: min(maxProbes, sockets/32),
	}
	for i := range l.Connections {
		l.Connections[i] = max(l.Connections[i], 1)
	}
	if memory > 0 {
		l.shareReceiveMemory(memory << 20 / receiveDivisor)
		// No process has both links and reports, so most of what is reserved is never used.
		l.Memory += min(l.reserved()*3/4, l.Memory/2)
	}
	return l
}

// shareReceiveMemory divides n bytes among the receive buffers of all connections, accepted or waiting. If there are too
// many for buffers of minReceiveBuffer, it lowers their numbers.
func (l *Limits) shareReceiveMemory(n int) {
	l.setBacklogs()
	// Each gate keeps a connection and a place in its queue, however small its part is.
	if sum, most := l.sockets(), n/minReceiveBuffer-2*int(gateCount); sum > most {
		for g, bound := range l.Connections {
			l.Connections[g] = max(bound*most/sum, 1)
		}
		l.setBacklogs()
	}
	l.ReceiveBuffer = min(max(n/l.sockets(), minReceiveBuffer), maxReceiveBuffer)
}

// setBacklogs derives the numbers of waiting connections from those of accepted ones.
func (l *Limits) setBacklogs() {
	for g, bound := range l.Connections {
		l.Backlog[g] = max(bound/backlogDivisor, 1)
	}
}

// sockets returns the maximum number of connections of all gates, accepted or waiting. No process has both links and
// reports, and there are fewer reports.
func (l *Limits) sockets() int {
	sum := 0
	for g := range l.Connections {
		if Gate(g) != Reports {
			sum += l.Connections[g] + l.Backlog[g]
		}
	}
	return sum
}

// reserved returns the memory in bytes that is kept free for the connections of all gates but that of callers. It is half
// of the memory at most.
func (l Limits) reserved() int64 {
	n := int64(0)
	for g, bound := range l.Connections {
		if Gate(g) != Callers {
			n += int64(bound) * baseCost
		}
	}
	return min(n, l.Memory/2)
}
