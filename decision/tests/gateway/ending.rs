//! Tests of partitions that outlast the time for which an unlisted instance is remembered.

use std::sync::Arc;

use crate::simulation::Simulation;

/// The simulation panics if a member is assigned to another replica while its head serves.
#[test]
fn replicas_survive_a_partition_that_outlasts_the_memory_of_departed_instances() {
    // An entry expires after 3.6 s, and the owner remembers the instance for 15 s more.
    for millis in (18_000..21_000).step_by(100) {
        let mut simulation = Simulation::new(11, 2, 11);
        simulation.run(20_000);
        simulation.start_counting_loads();
        simulation.run(20_000);
        let before = simulation.members();
        let hidden: Vec<Arc<str>> =
            simulation.nodes.keys().filter(|it| it.starts_with("i0-")).cloned().collect();
        hidden.iter().for_each(|it| simulation.set_isolation(it, true));
        simulation.run(millis);
        hidden.iter().for_each(|it| simulation.set_isolation(it, false));
        simulation.run(8_000);
        assert_eq!(simulation.members(), before, "{millis} ms");
    }
}
