package closer

// Closer runs clean-up functions, last first.
type Closer struct {
	functions []func()
}

// Add keeps a function for Close.
func (closer *Closer) Add(function func()) {
	closer.functions = append(closer.functions, function)
}

// Close runs every function once.
func (closer *Closer) Close() {
	for i := len(closer.functions) - 1; i >= 0; i-- {
		closer.functions[i]()
	}
	closer.functions = nil
}
