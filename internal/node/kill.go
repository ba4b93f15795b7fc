package node

// Kill ends the node at once, as when its process is killed: connections are closed, and nothing is
// finished, given back or told to anyone. Serve returns after it. It is called once.
func (n *Node) Kill() { close(n.killed) }
