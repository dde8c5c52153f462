package overload

// offeredLoad holds the number of operations by index in loadMix and by workspace.
type offeredLoad [][]float64

func countOffered(ops []*operation) offeredLoad {
	o := make(offeredLoad, len(loadMix))
	for i := range o {
		o[i] = make([]float64, len(workspaces))
	}
	for _, op := range ops {
		for i, c := range loadMix {
			if c.importance == op.importance {
				o[i][op.workspace]++
			}
		}
	}
	return o
}

// fairShares divides capacity, in operations, among the workspaces: by strict
// priority of importance, and max-min fair within an importance. Capacity given to a
// workspace at a higher importance counts towards its share at lower ones. It
// returns the number of operations per workspace.
func (o offeredLoad) fairShares(capacity float64) []float64 {
	total := make([]float64, len(workspaces))
	for _, row := range o {
		capacity -= progressiveFill(total, row, capacity)
	}
	return total
}

// shareSteps is the number of steps in which progressiveFill divides capacity.
const shareSteps = 10000

// progressiveFill adds demand to total up to capacity. Each step goes to the
// lowest total that still has demand. It returns the amount added.
func progressiveFill(total, demand []float64, capacity float64) float64 {
	left := append([]float64(nil), demand...)
	step := capacity / shareSteps
	used := 0.0
	for used < capacity && step > 0 {
		lowest := -1
		for w := range total {
			if left[w] > 0 && (lowest < 0 || total[w] < total[lowest]) {
				lowest = w
			}
		}
		if lowest < 0 {
			return used
		}
		n := min(step, left[lowest], capacity-used)
		total[lowest] += n
		left[lowest] -= n
		used += n
	}
	return used
}

// maxWeighted returns the largest sum of weights that capacity, in operations,
// allows. loadMix is in descending order of weight.
func (o offeredLoad) maxWeighted(capacity float64) float64 {
	weighted := 0.0
	for i, row := range o {
		count := 0.0
		for _, v := range row {
			count += v
		}
		count = min(count, capacity)
		weighted += count * loadMix[i].weight
		capacity -= count
	}
	return weighted
}

func weightOf(o *operation) float64 {
	for _, c := range loadMix {
		if c.importance == o.importance {
			return c.weight
		}
	}
	return 0
}

// worstWorkspaceRatio returns the lowest ratio, over the workspaces, of successful
// operations to the fair share of capacity (operations), and at most 1.
func worstWorkspaceRatio(ops []*operation, capacity float64) float64 {
	succeeded := make([]float64, len(workspaces))
	for _, o := range ops {
		if o.succeeded() {
			succeeded[o.workspace]++
		}
	}
	worst := 1.0
	for w, share := range countOffered(ops).fairShares(capacity) {
		if share > 0 {
			worst = min(worst, succeeded[w]/share)
		}
	}
	return worst
}

// addRelativeMeasures fills in the measures that are relative to the best sustained
// goodput: the highest goodput, in operations per second, of any mode in phases
// "before" and "full". results has the same order as records.
func addRelativeMeasures(records []*modeRecord, results []Result) {
	best := 0.0
	for _, r := range results {
		best = max(best, r.GoodputBefore, r.GoodputFull)
	}
	if best == 0 {
		return
	}
	for i, rec := range records {
		ops := rec.operationsIn("surge")
		length := rec.phases[rec.phaseIndex("surge")].length.Seconds()
		r := &results[i]
		r.GoodputRatio = r.GoodputSurge / best
		r.WeightedGoodputRatio = rec.weightedGoodput("surge", weightOf) * length / countOffered(ops).maxWeighted(best*length)
		r.WorstWorkspaceRatio = worstWorkspaceRatio(ops, best*length)
	}
}
