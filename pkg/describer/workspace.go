package describer

// Workspace is the owner of API keys, for whom requests are counted.
type Workspace struct {
	Name string
	// Importance ranks workspaces when capacity is short. Zero is the highest rank.
	Importance int
}
