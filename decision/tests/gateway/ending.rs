use std::sync::Arc;

use crate::simulation::Simulation;

/// The world panics if a member is taken while its head serves.
#[test]
fn replicas_behind_a_cut_that_outlasts_memory_are_not_taken_apart_when_it_heals() {
    // An entry lapses after 3.6 s and is remembered for 15 s more.
    for millis in (18_000..21_000).step_by(100) {
        let mut world = Simulation::new(11, 2, 11);
        world.run(20_000);
        world.start_counting_loads();
        world.run(20_000);
        let before = world.members();
        let hidden: Vec<Arc<str>> =
            world.nodes.keys().filter(|it| it.starts_with("i0-")).cloned().collect();
        hidden.iter().for_each(|it| world.set_isolation(it, true));
        world.run(millis);
        hidden.iter().for_each(|it| world.set_isolation(it, false));
        world.run(8_000);
        assert_eq!(world.members(), before, "{millis} ms");
    }
}
