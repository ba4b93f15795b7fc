package node

// Kill stops the node at once, as if its process were killed: it closes the connections, completes no
// request, releases no cell and notifies no peer. Serve then returns. Kill must be called at most once.
func (n *Node) Kill() { close(n.killed) }
