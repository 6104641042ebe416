package message

// Link is the state of an edge router's connection to the control plane.
type Link uint8

// The links.
const (
	// LinkSeeking: no control member has sent a configuration since this router started.
	LinkSeeking Link = iota
	// LinkUnconfirmed: the configuration comes from a control member or another router, without confirmation by a majority.
	LinkUnconfirmed
	// LinkDiskMajority: a majority of the voters has reported what is stored on disk, but no leader has confirmed it yet.
	LinkDiskMajority
	// LinkLost: the configuration was confirmed since this router started, but no control member with a known leader has
	// responded recently. Later changes are not known here.
	LinkLost
	// LinkConfirmed: a control member with a known leader has confirmed the configuration and responded recently.
	LinkConfirmed
)

// String names the link.
func (l Link) String() string {
	switch l {
	case LinkSeeking:
		return "seeking"
	case LinkUnconfirmed:
		return "unconfirmed"
	case LinkDiskMajority:
		return "known to a majority of the disks"
	case LinkLost:
		return "out of contact"
	case LinkConfirmed:
		return "confirmed"
	}
	return "unknown"
}

// Advice describes the effect of the link's state on clients and what an operator can do; "" if no action is needed.
func (l Link) Advice() string {
	switch l {
	case LinkSeeking:
		return "no control member has told of a configuration: requests are answered 503; if none of the starters in the boot file " +
			"lives any more, write the addresses of others there and send SIGHUP to the agent"
	case LinkUnconfirmed:
		return "no majority of the control members stands behind the configuration: this router serves by it, and it may be old; " +
			"look at its links, at the starters in its boot file, and at how many control members run"
	case LinkDiskMajority:
		return "no leader is known yet: an order that was acknowledged in the last moment before a loss of all power may not be in force; " +
			"if this lasts for more than a few seconds, count the control members that run and reach each other"
	case LinkLost:
		return "changes of the configuration and of workers since the last contact are not known here: look at this machine's links " +
			"and at the leaders of the partitions"
	}
	return ""
}
