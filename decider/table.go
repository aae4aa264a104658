package decider

const (
	flowShards      = 64
	firstShardSlots = 16 // a power of two
	maxShardLoad    = 0.8
)

// flowTable maps flow keys to flows. Shards keep each scan and each growth short.
// Linear probing makes every run visit the flows in the same order, which Go's maps
// do not.
type flowTable struct {
	shards   [flowShards]flowShard
	size     int
	maxFlows int
}

// flowShard is an open-addressing table; key 0 marks a free slot.
type flowShard struct {
	keys  []uint64
	flows []flow
	size  int
}

func newFlowTable(maxFlows int) *flowTable { return &flowTable{maxFlows: maxFlows} }

// shard returns the shard of a key and the key itself, with 0 replaced by 1.
func (flowTable *flowTable) shard(key uint64) (*flowShard, uint64) {
	if key == 0 {
		key = 1
	}
	return &flowTable.shards[key%flowShards], key
}

func (flowTable *flowTable) get(key uint64) (flow, bool) {
	shard, key := flowTable.shard(key)
	if slot, found := shard.find(key); found {
		return shard.flows[slot], true
	}
	return flow{}, false
}

// put stores a flow. It returns false if the table is full and the flow is new.
func (flowTable *flowTable) put(key uint64, flow flow) bool {
	shard, key := flowTable.shard(key)
	slot, found := shard.find(key)
	if found {
		shard.flows[slot] = flow
		return true
	}
	if flowTable.size >= flowTable.maxFlows {
		return false
	}
	if shard.size >= int(maxShardLoad*float64(len(shard.keys))) {
		shard.grow()
		slot, _ = shard.find(key)
	}
	shard.keys[slot], shard.flows[slot] = key, flow
	shard.size++
	flowTable.size++
	return true
}

func (flowTable *flowTable) remove(key uint64) {
	shard, key := flowTable.shard(key)
	if slot, found := shard.find(key); found {
		shard.remove(slot)
		flowTable.size--
	}
}

// firstSlot returns the slot where the probe for a key starts; the low bits select the shard.
func (flowShard *flowShard) firstSlot(key uint64) int {
	return int(key>>16) & (len(flowShard.keys) - 1)
}

// find returns the slot of a key, or the free slot where it belongs.
func (flowShard *flowShard) find(key uint64) (int, bool) {
	if len(flowShard.keys) == 0 {
		return 0, false
	}
	mask := len(flowShard.keys) - 1
	for slot := flowShard.firstSlot(key); ; slot = (slot + 1) & mask {
		switch flowShard.keys[slot] {
		case key:
			return slot, true
		case 0:
			return slot, false
		}
	}
}

func (flowShard *flowShard) grow() {
	old := *flowShard
	slots := max(firstShardSlots, 2*len(old.keys))
	flowShard.keys, flowShard.flows = make([]uint64, slots), make([]flow, slots)
	for i, key := range old.keys {
		if key != 0 {
			slot, _ := flowShard.find(key)
			flowShard.keys[slot], flowShard.flows[slot] = key, old.flows[i]
		}
	}
}

// remove frees a slot and moves later entries of its cluster back (Knuth, volume 3, algorithm 6.4R).
func (flowShard *flowShard) remove(slot int) {
	mask := len(flowShard.keys) - 1
	flowShard.size--
	for next := (slot + 1) & mask; flowShard.keys[next] != 0; next = (next + 1) & mask {
		distance := (next - flowShard.firstSlot(flowShard.keys[next])) & mask
		if distance >= (next-slot)&mask {
			flowShard.keys[slot], flowShard.flows[slot] = flowShard.keys[next], flowShard.flows[next]
			slot = next
		}
	}
	flowShard.keys[slot] = 0
}

// forEach calls visit for every flow until it returns false; visit may change the
// flow in place but not add or remove any.
func (flowShard *flowShard) forEach(visit func(key uint64, flow *flow) bool) {
	for i, key := range flowShard.keys {
		if key != 0 && !visit(key, &flowShard.flows[i]) {
			return
		}
	}
}
