package closer

// Closer runs clean-up functions in the reverse order of Add.
type Closer struct {
	functions []func()
}

// Add registers a function that Close will call.
func (closer *Closer) Add(function func()) {
	closer.functions = append(closer.functions, function)
}

// Close calls every registered function and removes it, so that a second Close does nothing.
func (closer *Closer) Close() {
	for i := len(closer.functions) - 1; i >= 0; i-- {
		closer.functions[i]()
	}
	closer.functions = nil
}
