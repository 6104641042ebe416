package main

import (
	"fmt"
	"strings"

	"sumacloft/internal/status"
)

// linkText says how an edge router stands to the control plane.
func linkText(link *status.Link) string {
	if link == nil {
		return ""
	}
	text := "link to the control plane: " + link.State
	if link.DisksNeeded > 0 && link.DisksReported < link.DisksNeeded {
		text += fmt.Sprintf(" (%d of %d disks heard since the start)", link.DisksReported, link.DisksNeeded)
	}
	if link.Advice != "" {
		text += "\n  " + link.Advice
	}
	return text + "\n"
}

// ordersText says how much is remembered of the operator's orders.
func ordersText(memory *status.OrderMemory) string {
	if memory == nil {
		return ""
	}
	text := fmt.Sprintf("orders remembered: %d of %d taken, %d of %d refused on versions to come",
		memory.Taken, memory.MostTaken, memory.Refused, memory.MostRefused)
	if memory.Forgotten > 0 {
		text += fmt.Sprintf("; of those up to version %d nothing is said any more", memory.Forgotten)
	}
	return text + "\n"
}

// endingText says what a control member that was told to end waits for.
func endingText(waits []status.Wait) string {
	var text strings.Builder
	for _, wait := range waits {
		fmt.Fprintf(&text, "ending, waits for %s (partition %s)\n", wait.For, wait.Partition)
	}
	return text.String()
}

// connectionsText counts a proxy's connections to workers.
func connectionsText(connections *status.Connections) string {
	if connections == nil {
		return ""
	}
	return fmt.Sprintf("connections to workers: %d opened; %d answers without the request's id, each of which cost its connection\n",
		connections.Opened, connections.WithoutID)
}

// trafficText is where a process' bytes went.
func trafficText(totals []status.Traffic) string {
	if len(totals) == 0 {
		return ""
	}
	t := newTable("KIND", "ZONE", "MESSAGES", "SENT BYTES", "RECEIVED BYTES")
	for _, total := range totals {
		zone := "other"
		if total.OwnZone {
			zone = "own"
		}
		t.row(total.Kind, zone, decimal(total.Messages), decimal(total.Sent), decimal(total.Received))
	}
	return "\n" + t.String()
}
