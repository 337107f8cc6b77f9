package linker

import "samphiremux/pkg/storer"

// DecodeRevision returns the revision with a number and an era of a message. Entries of
// earlier versions send no era; what they send is of the given era of the receiver. Number
// zero without an era stays zero: the sender knows nothing of the store.
func DecodeRevision(number uint64, era, own int64) storer.Revision {
	if era == 0 && number > 0 {
		era = own
	}
	return storer.NewRevision(era, int64(number))
}
