package agent

import (
	"sumacloft/internal/mesh/message"
	"sumacloft/internal/mesh/topic"
)

// link returns the state of this router's link to the control plane.
func (a *Agent) link() message.Link {
	snapshot, _ := a.members.Node().Snapshot()
	if settings, _ := snapshot.Get(topic.Settings); settings.Version.Major == 0 {
		return message.LinkSeeking
	}
	_, byMajority := a.confirmation.byMajority()
	switch {
	case a.confirmation.isConfirmed() && a.members.InContact(contactTimeout):
		return message.LinkConfirmed
	case a.confirmation.isConfirmed():
		return message.LinkLost
	case byMajority:
		return message.LinkDiskMajority
	}
	return message.LinkUnconfirmed
}
