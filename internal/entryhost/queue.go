package entryhost

import (
	"fmt"

	"balsambarrow/internal/front"
)

// maxQueuePriority is the least urgent priority that metrics tell apart.
const maxQueuePriority = 7

// queues reports whether requests of a service that find no room wait at this host.
func (d *Daemon) queues(service string) bool {
	return d.applies(d.settings.Load().Overload.Queue, service)
}

// observeQueue counts what happens to requests that find no room.
func (d *Daemon) observeQueue(e front.QueueEvent) {
	labels := fmt.Sprintf(`service=%q,priority="%d"`, e.Service, min(max(e.Priority, 0), maxQueuePriority))
	set := d.metrics.Set
	set.GetOrCreateCounter(fmt.Sprintf(`balsambarrow_queue_events_total{%s,event=%q,reason=%q}`, labels, e.Kind, e.Reason)).Inc()
	waiting := set.GetOrCreateGauge(fmt.Sprintf(`balsambarrow_queue_waiting{%s}`, labels), nil)
	switch e.Kind {
	case front.QueueRefused:
		return
	case front.QueuePushed:
		waiting.Inc()
		return
	}
	waiting.Dec()
	set.GetOrCreateHistogram(fmt.Sprintf(`balsambarrow_queue_wait_seconds{%s,event=%q}`, labels, e.Kind)).Update(e.Waited.Seconds())
}
